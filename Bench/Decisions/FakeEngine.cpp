#include <LibPlacement/TokenEstimate.h>

#include <Bench/Decisions/FakeEngine.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace lycheeseam::bench {

namespace {

using namespace std::chrono_literals;

/// The capacity of the prefix cache: about 100,000 tokens, which load replaces
/// within seconds.
constexpr std::size_t kCacheBlocks = 400;
/// The most prefill work in one step, in tokens.
constexpr double kChunk = 2048;
constexpr std::size_t kMaxRunning = 64;
/// The least duration of a step, and how much each running job adds to it.
constexpr duration kStepBase = 12ms;
constexpr duration kStepPerRunning = 100us;
/// The fixed cost of an import, in prefill tokens.
constexpr double kImportStart = 0.02 * fake_engine::kPrefillRate;

}

fake_engine::fake_engine(scheduler& aScheduler, engine_listener aListener)
  : mScheduler(aScheduler)
  , mListener(std::move(aListener))
  , mCache(kCacheBlocks)
{
}

bool
fake_engine::Submit(engine_job aJob)
{
  if (!mIsUp)
    return false;
  // Inserted behind all jobs of its priority; jobs that have begun keep their
  // position.
  auto const position =
    std::ranges::find_if(mWaiting, [&](engine_job const& aOther) {
      return !aOther.mIsStarted && aOther.mPriority > aJob.mPriority;
    });
  mWaiting.insert(position, aJob);
  if (!mIsInStep)
    StartStep();
  return true;
}

void
fake_engine::Crash()
{
  mIsUp = false;
  mIsInStep = false;
  mIncarnation = mIncarnation.Next();
  std::vector<engine_job> lost(mWaiting.begin(), mWaiting.end());
  lost.insert(lost.end(), mRunning.begin(), mRunning.end());
  mWaiting.clear();
  mRunning.clear();
  mEvents.clear();
  mCache = lru_cache{ kCacheBlocks };
  for (engine_job const& job : lost)
    mListener.mOnCrashed(job);
}

void
fake_engine::Restart()
{
  mIsUp = true;
}

server_load
fake_engine::Load() const
{
  double queued = 0;
  for (engine_job const& job : mWaiting) {
    std::size_t const held = mCache.CountHeld(job.mBlocks);
    queued +=
      job.mIsStarted
        ? job.mWork
        : static_cast<double>(job.mPromptTokens -
                              static_cast<token_count>(held) * kBlockTokens);
  }
  return { .mQueuedTokens = static_cast<token_count>(queued),
           .mRunning =
             static_cast<std::uint32_t>(mRunning.size() + mWaiting.size()),
           .mMeasuredAt = mScheduler.Now() };
}

std::vector<cache_event>
fake_engine::TakeEvents()
{
  return std::exchange(mEvents, {});
}

void
fake_engine::StartStep()
{
  mIsInStep = true;
  double const prefilled = Prefill();
  duration const compute = std::chrono::duration_cast<duration>(
    std::chrono::duration<double>{ prefilled / kPrefillRate });
  duration const step = std::max<duration>(
    kStepBase + kStepPerRunning * static_cast<int>(mRunning.size()), compute);
  mScheduler.After(step,
                   [this, current = mIncarnation]() { EndStep(current); });
}

void
fake_engine::EndStep(incarnation aIncarnation)
{
  if (!mIsUp || aIncarnation != mIncarnation)
    return;
  mIsInStep = false;
  Decode();
  EndPrefill();
  if (!mIsInStep && (!mWaiting.empty() || !mRunning.empty()))
    StartStep();
}

double
fake_engine::Prefill()
{
  double left = kChunk;
  std::size_t capacity = kMaxRunning - std::min(kMaxRunning, mRunning.size());
  for (engine_job& job : mWaiting) {
    if (left <= 0 || capacity == 0)
      break;
    if (!job.mIsStarted)
      Begin(job);
    double const part = std::min(left, job.mWork);
    job.mWork -= part;
    left -= part;
    --capacity;
  }
  return kChunk - left;
}

void
fake_engine::Begin(engine_job& aJob)
{
  token_count const cached =
    static_cast<token_count>(mCache.CountHeld(aJob.mBlocks)) * kBlockTokens;
  token_count const imported =
    std::max<token_count>(aJob.mStoredTokens - cached, 0);
  aJob.mIsStarted = true;
  aJob.mCachedTokens = cached;
  aJob.mWork = static_cast<double>(aJob.mPromptTokens - cached - imported);
  if (imported > 0)
    aJob.mWork +=
      kImportStart + static_cast<double>(imported) * kPrefillRate / kImportRate;
  aJob.mTokensLeft = aJob.mAnswerTokens;
}

void
fake_engine::EndPrefill()
{
  while (!mWaiting.empty() && mWaiting.front().mIsStarted &&
         mWaiting.front().mWork <= 0) {
    engine_job const job = mWaiting.front();
    mWaiting.pop_front();
    for (block_hash const block : job.mBlocks) {
      if (!mCache.Holds(block))
        mEvents.push_back({ .mChange = cache_change::Stored, .mBlock = block });
    }
    for (block_hash const block : mCache.Use(job.mBlocks))
      mEvents.push_back({ .mChange = cache_change::Removed, .mBlock = block });
    mRunning.push_back(job);
    mListener.mOnFirstToken(job);
  }
}

void
fake_engine::Decode()
{
  std::vector<engine_job> ended;
  for (engine_job& job : mRunning) {
    --job.mTokensLeft;
    if (job.mTokensLeft <= 0)
      ended.push_back(job);
  }
  std::erase_if(mRunning,
                [](engine_job const& aJob) { return aJob.mTokensLeft <= 0; });
  for (engine_job const& job : ended)
    mListener.mOnEnd(job);
}

}
