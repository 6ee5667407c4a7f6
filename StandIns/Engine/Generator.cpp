#include <StandIns/Engine/Generator.h>
#include <StandIns/EngineModel/PromptChain.h>

#include <algorithm>
#include <utility>

namespace lycheeseam::standin {

generator::generator(boost::asio::io_context& aContext,
                     engine_settings const& aSettings)
  : mTimer(aContext)
  , mBatch(aSettings)
  , mCache(aSettings.mCacheBlocks)
{
}

void
generator::Start(completion_request const& aRequest,
                 weights_version const& aVersion,
                 std::shared_ptr<http_exchange> const& aExchange)
{
  mLastId = mLastId.Next();
  sequence_id const id = mLastId;
  ++mCounts.mRuns[aRequest.mAnswerName];
  mCounts.mPromptTokens += TokensOf(aRequest.mPrompt);
  mAnswers.emplace(id, answer_writer{ aRequest, aExchange });
  aExchange->OnCallerDisconnected([this, id]() { CancelSequence(id); });
  mBatch.Add(sequence{
    .mId = id,
    .mPriority = aRequest.mPriority,
    .mChain = ChainBlocks(aRequest.mWorkspace, aVersion, aRequest.mPrompt),
    .mPromptTokens = TokensOf(aRequest.mPrompt),
    .mNextToken = aRequest.mTokensSent,
    .mEndToken = aRequest.mMaxTokens,
  });
  Advance();
}

bool
generator::Cancel(request_id const& aId)
{
  std::vector<sequence_id> cancelled;
  for (auto const& [id, answer] : mAnswers) {
    if (answer.Request().mId == aId)
      cancelled.push_back(id);
  }
  for (sequence_id const id : cancelled) {
    std::shared_ptr<http_exchange> const exchange = mAnswers.at(id).Exchange();
    CancelSequence(id);
    exchange->Close();
  }
  return !cancelled.empty();
}

void
generator::ClearCache()
{
  mCache.Clear();
  mEvents.Add(cache_event_kind::Cleared, {}, mClock.Now());
  RecordLoad();
}

void
generator::OnTokensSent(token_count aTokens, std::function<void()> aCallback)
{
  mTokensToCallback = aTokens;
  mOnTokensSent = std::move(aCallback);
}

void
generator::Import(std::span<block_hash const> aBlocks)
{
  instant const now = mClock.Now();
  mEvents.Add(cache_event_kind::Stored, mCache.Store(aBlocks), now);
  mEvents.Add(cache_event_kind::Evicted, mCache.Evict(), now);
  RecordLoad();
}

void
generator::Advance()
{
  auto const lookup = [this](sequence const& aSequence) {
    return UncachedTokens(aSequence);
  };
  for (token_step const& step : mBatch.Advance(mClock.Now(), lookup))
    Deliver(step);
  RecordLoad();
  ArmTimer();
}

token_count
generator::UncachedTokens(sequence const& aSequence)
{
  std::size_t const blocks = mCache.Match(aSequence.mChain);
  token_count const cached = static_cast<token_count>(blocks * kTokensPerBlock);
  mAnswers.at(aSequence.mId).SetCachedTokens(cached);
  mCounts.mCachedTokens += cached;
  Import(aSequence.mChain);
  return aSequence.mPromptTokens - cached;
}

void
generator::Deliver(token_step const& aStep)
{
  auto const answer = mAnswers.find(aStep.mId);
  answer->second.Write(aStep);
  if (aStep.mFinished) {
    mAnswers.erase(answer);
    ++mCounts.mFinished;
  }
  CountSent(aStep.mEnd - aStep.mFirst);
}

void
generator::CountSent(token_count aTokens)
{
  mCounts.mTokensSent += aTokens;
  if (!mOnTokensSent)
    return;
  mTokensToCallback -= aTokens;
  if (mTokensToCallback <= 0)
    std::exchange(mOnTokensSent, nullptr)();
}

void
generator::CancelSequence(sequence_id aId)
{
  mBatch.Cancel(aId);
  if (mAnswers.erase(aId) == 0)
    return;
  ++mCounts.mCancelled;
  Advance();
}

void
generator::RecordLoad()
{
  mLoad.Record(mClock.Now(),
               engine_load{ .mRunning = mBatch.Running(),
                            .mWaiting = mBatch.Waiting(),
                            .mCachedBlocks = mCache.Size() });
}

void
generator::ArmTimer()
{
  std::optional<instant> const wake = mBatch.NextWake();
  if (!wake)
    return;
  mTimer.expires_after(*wake - mClock.Now());
  mTimer.async_wait([this](boost::system::error_code aError) {
    if (!aError)
      Advance();
  });
}

}
