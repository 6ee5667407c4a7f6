#include <LibAdmission/EnginePriority.h>
#include <LibPlacement/LookupDeadlines.h>
#include <LibPlacement/TokenEstimate.h>

#include <Bench/Decisions/Simulation.h>
#include <Bench/Decisions/SimulationConstants.h>

#include <algorithm>

/// \file The steps of a request in the simulation.

namespace lycheeseam::bench {

void
simulation::OnArrival(std::size_t aRequest)
{
  arrival const& request = mArrivals[aRequest];
  token_bucket& bucket = mBuckets[request.mWorkspace];
  token_count const cost = request.mPromptTokens + request.mAnswerTokens;
  duration const wait = bucket.WaitFor(cost, mScheduler.Now());
  if (wait > kRateWait) {
    mStates[aRequest].mResult = request_result::OverRate;
    return;
  }
  bucket.Take(cost);
  if (wait > duration{})
    mStates[aRequest].mBudget = budget_state::Exhausted;
  mScheduler.After(wait, [this, aRequest]() { Lookup(aRequest); });
}

void
simulation::Lookup(std::size_t aRequest)
{
  request_state& state = mStates[aRequest];
  if (!AsksShard(mOptions.mPolicy)) {
    Enqueue(aRequest);
    return;
  }
  arrival const& request = mArrivals[aRequest];
  std::size_t const owner = OwnerOf(request.mBlocks[0]);
  bool const isOwn = owner == request.mInstance;
  duration const hop = isOwn ? duration{} : Hop(owner, request.mInstance);
  if (!isOwn &&
      std::uniform_real_distribution<double>{}(mRandom) < kLookupLoss) {
    mScheduler.After(lookup_deadlines::kAnswerTimeout,
                     [this, aRequest]() { UseRecentSends(aRequest); });
    return;
  }
  mScheduler.After(hop, [this, aRequest, owner, isOwn, hop, &state]() {
    router_instance& shard = mInstances[owner];
    state.mKnown =
      shard.mShard.Answer({ .mBlocks = mArrivals[aRequest].mBlocks },
                          shard.Candidates(mScheduler.Now()),
                          mScheduler.Now());
    state.mLookupState = lookup_state::Answered;
    if (!isOwn)
      mLookupBytes +=
        2 * (2 * kFrameBytes +
             kBlockHashBytes * mArrivals[aRequest].mBlocks.size() +
             kHolderBytes * state.mKnown.mKnown.size());
    // An empty answer may come from a shard that has just started.
    bool const isUnknown = state.mKnown.mKnown.empty();
    mScheduler.After(hop, [this, aRequest, isUnknown]() {
      isUnknown ? UseRecentSends(aRequest) : Enqueue(aRequest);
    });
  });
}

void
simulation::UseRecentSends(std::size_t aRequest)
{
  arrival const& request = mArrivals[aRequest];
  request_state& state = mStates[aRequest];
  router_instance& instance = mInstances[request.mInstance];
  state.mKnown = instance.mRecent.Answer({ .mBlocks = request.mBlocks },
                                         instance.Candidates(mScheduler.Now()),
                                         mScheduler.Now());
  if (!state.mKnown.mKnown.empty())
    state.mLookupState = lookup_state::Answered;
  Enqueue(aRequest);
}

void
simulation::Enqueue(std::size_t aRequest)
{
  arrival const& request = mArrivals[aRequest];
  instant const deadline = mScheduler.Now() + kQueueWait;
  enqueue_result const result = mInstances[request.mInstance].mQueue.Enqueue(
    { .mTicket = ticket{ aRequest },
      .mWorkspace = workspace_id{ std::to_string(request.mWorkspace) },
      .mCost = request.mPromptTokens + request.mAnswerTokens,
      .mDeadline = deadline });
  if (result != enqueue_result::Queued) {
    mStates[aRequest].mResult = request_result::Refused;
    return;
  }
  AdmitQueued(request.mInstance);
}

void
simulation::AdmitQueued(std::size_t aInstance)
{
  router_instance& instance = mInstances[aInstance];
  while (instance.mQueue.size() > 0) {
    std::size_t const free = instance.HasEligible(mScheduler.Now()) ? 1 : 0;
    admission_batch const batch = instance.mQueue.Next(mScheduler.Now(), free);
    for (ticket const expired : batch.mExpired)
      mStates[expired.Value()].mResult = request_result::Refused;
    for (ticket const admitted : batch.mAdmitted)
      Place(aInstance, admitted.Value());
    if (free == 0)
      return;
  }
}

void
simulation::Place(std::size_t aInstance, std::size_t aRequest)
{
  arrival const& request = mArrivals[aRequest];
  request_state& state = mStates[aRequest];
  if (mOptions.mPolicy == policy_kind::Oracle) {
    state.mKnown = ExactAnswer(aRequest);
    state.mLookupState = lookup_state::Answered;
  }
  router_instance& instance = mInstances[aInstance];
  state.mChoice =
    *instance.Choose({ .mBlocks = request.mBlocks,
                       .mRoot = request.mBlocks[0],
                       .mPromptTokens = request.mPromptTokens,
                       .mKnown = state.mKnown.mKnown,
                       .mLookupState = state.mLookupState,
                       .mStoredTokens = state.mKnown.mStoredTokens },
                     mScheduler.Now());
  if (state.mAttempts++ == 0)
    instance.mRetries.OnRequest();
  token_count const uncached =
    request.mPromptTokens - state.mChoice.mExpectedCached;
  instance.OnSent(state.mChoice.mIndex, uncached, mScheduler.Now());
  SendUpdate(aRequest, std::nullopt);
  mScheduler.After(
    Hop(aInstance, state.mChoice.mIndex),
    [this, aInstance, aRequest]() { Submit(aInstance, aRequest); });
}

void
simulation::Submit(std::size_t aInstance, std::size_t aRequest)
{
  arrival const& request = mArrivals[aRequest];
  request_state const& state = mStates[aRequest];
  token_count const held =
    static_cast<token_count>(mStore.CountHeld(request.mBlocks)) * kBlockTokens /
    kPieceTokens * kPieceTokens;
  bool const isTaken = mEngines[state.mChoice.mIndex]->Submit(
    { .mRequest = aRequest,
      .mBlocks = request.mBlocks,
      .mPromptTokens = request.mPromptTokens,
      .mAnswerTokens = request.mAnswerTokens,
      .mStoredTokens = std::min(state.mChoice.mStoredTokens, held),
      .mPriority = EnginePriority(priority_class::Normal, state.mBudget) });
  if (!isTaken)
    mScheduler.After(Hop(aInstance, state.mChoice.mIndex),
                     [this, aRequest]() { OnFailure(aRequest); });
}

void
simulation::OnFirstToken(engine_job const& aJob)
{
  CountRecomputed(aJob);
  if (UsesStore())
    mStore.Use(aJob.mBlocks);
  std::size_t const index = aJob.mRequest;
  arrival const& request = mArrivals[index];
  request_state& state = mStates[index];
  duration const hop = Hop(request.mInstance, state.mChoice.mIndex);
  instant const seen = mScheduler.Now() + hop + mOptions.mDeployment.mCallerHop;
  state.mResult = request_result::Answered;
  state.mHasFirstToken = true;
  state.mFirstTokenAfter = seen - request.mAt;
  state.mCachedTokens = aJob.mCachedTokens;
  mInstances[request.mInstance].OnAlive(state.mChoice.mIndex);
  SendUpdate(index, aJob.mCachedTokens);
}

void
simulation::OnEnd(engine_job const& aJob)
{
  std::size_t const instance = mArrivals[aJob.mRequest].mInstance;
  mInstances[instance].OnEnd(mStates[aJob.mRequest].mChoice.mIndex);
  AdmitQueued(instance);
}

void
simulation::OnFailure(std::size_t aRequest)
{
  request_state& state = mStates[aRequest];
  router_instance& instance = mInstances[mArrivals[aRequest].mInstance];
  instance.OnFailure(state.mChoice.mIndex, mScheduler.Now());
  // A stream that has begun isn't measured further; this benchmark doesn't
  // cover resuming it.
  if (state.mHasFirstToken)
    return;
  if (!instance.mRetries.TrySpend()) {
    state.mResult = request_result::Lost;
    return;
  }
  state.mLookupState = lookup_state::Missing;
  Lookup(aRequest);
}

void
simulation::CountRecomputed(engine_job const& aJob)
{
  std::size_t const cached =
    static_cast<std::size_t>(aJob.mCachedTokens / kBlockTokens);
  std::size_t const stored =
    static_cast<std::size_t>(aJob.mStoredTokens / kBlockTokens);
  std::size_t const first = std::max(cached, stored);
  for (block_hash const block : aJob.mBlocks.subspan(first)) {
    if (!mComputedBlocks.insert(block).second)
      mStates[aJob.mRequest].mRecomputedTokens += kBlockTokens;
  }
}

block_answer
simulation::ExactAnswer(std::size_t aRequest) const
{
  std::span<block_hash const> const blocks = mArrivals[aRequest].mBlocks;
  block_answer answer;
  for (std::size_t index = 0; index < mEngines.size(); ++index) {
    std::size_t const held = mEngines[index]->Cache().CountHeld(blocks);
    answer.mKnown.push_back(
      { .mServer = ServerName(index),
        .mIncarnation = mInstances[0].IncarnationOf(index),
        .mTokens = static_cast<token_count>(held) * kBlockTokens });
  }
  token_count const stored =
    static_cast<token_count>(mStore.CountHeld(blocks)) * kBlockTokens;
  answer.mStoredTokens = stored / kPieceTokens * kPieceTokens;
  return answer;
}

bool
simulation::UsesStore() const
{
  return AsksShard(mOptions.mPolicy) || mOptions.mPolicy == policy_kind::Oracle;
}

void
simulation::SendUpdate(std::size_t aRequest,
                       std::optional<token_count> aCachedTokens)
{
  if (!AsksShard(mOptions.mPolicy))
    return;
  arrival const& request = mArrivals[aRequest];
  placement_choice const& choice = mStates[aRequest].mChoice;
  std::size_t const owner = OwnerOf(request.mBlocks[0]);
  if (owner != request.mInstance)
    mLookupBytes +=
      2 * (kFrameBytes + kBlockHashBytes * request.mBlocks.size());
  block_update update{
    .mServer = choice.mServer,
    .mIncarnation = mInstances[request.mInstance].IncarnationOf(choice.mIndex),
    .mBlocks = request.mBlocks,
    .mCachedTokens = aCachedTokens
  };
  mInstances[request.mInstance].mRecent.OnUpdate(update, mScheduler.Now());
  duration const hop = Hop(owner, request.mInstance);
  mScheduler.After(hop, [this, owner, update = std::move(update)]() {
    mInstances[owner].mShard.OnUpdate(update, mScheduler.Now());
    if (update.mCachedTokens)
      mInstances[owner].mShard.OnStored(update.mBlocks, mScheduler.Now());
  });
}

}
