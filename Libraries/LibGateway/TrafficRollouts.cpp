#include <LibGateway/TrafficRollouts.h>
#include <LibRollout/FirstServers.h>

#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace lycheeseam {

namespace {

// The same as for new requests: an instance that misses the leader's reports
// for longer may be cut off from one that rolls back.
constexpr duration kMaxSilence = std::chrono::milliseconds{ 1'500 };

constexpr std::uint32_t kLeastServerError = 500;

// Nothing may run the request.
allowed_software
Nothing(software_version const& aTarget, bool aIsTarget)
{
  return { .mRule =
             aIsTarget ? software_rule::OthersOnly : software_rule::TargetOnly,
           .mTarget = &aTarget };
}

// A server that gave nothing for as long as the answer should take has failed,
// whether the caller or the time limit ended the wait.
bool
HasTimedOut(instant aNow, observed_attempt const& aAttempt)
{
  return !aAttempt.mFirstPieceAt &&
         aNow - aAttempt.mSentAt >= aAttempt.mTargetLatency;
}

}

traffic_rollouts::traffic_rollouts(std::optional<rollout_limits> const& aLimits)
{
  if (aLimits)
    mGate.emplace(*aLimits);
}

void
traffic_rollouts::Apply(instant aNow,
                        fleet_view const& aView,
                        server_table const& aServers)
{
  if (!mGate)
    return;
  for (rollout_state const& state : aView.mRollouts) {
    auto const [found, isNew] = mRollouts.try_emplace(
      state.mOrder.mPool, pool_rollout{ .mState = state, .mHeardAt = aNow });
    pool_rollout& known = found->second;
    if (isNew || !state.IsNewerThan(known.mState))
      continue;
    bool const isSameStep =
      state.mOrder.mNumber == known.mState.mOrder.mNumber &&
      state.mRevision == known.mState.mRevision;
    known = { .mState = state,
              .mHeardAt = aNow,
              .mIsDrained = isSameStep && known.mIsDrained };
  }
  mGate->Apply(aNow, aView.mRollouts);
  mCounts.clear();
  for (auto const& [id, server] : aServers.Servers()) {
    std::vector<software_count>& counts = mCounts[server->mRegistered.mPool];
    software_version const& software = server->mRegistered.mSoftware;
    auto const found = std::find_if(
      counts.begin(), counts.end(), [&software](software_count const& aCount) {
        return aCount.mSoftware == software;
      });
    software_count& count =
      found != counts.end()
        ? *found
        : counts.emplace_back(software_count{ .mSoftware = software });
    count.mReady += server->IsLeaving() ? 0 : 1;
  }
  for (auto const& [pool, counts] : mCounts)
    mGate->OnServers(aNow, pool, counts);
}

std::span<software_count const>
traffic_rollouts::Counts(pool_name const& aPool) const
{
  auto const found = mCounts.find(aPool);
  if (found == mCounts.end())
    return {};
  return found->second;
}

bool
traffic_rollouts::IsGated(pool_name const& aPool) const
{
  return mGate && (mRollouts.contains(aPool) || Counts(aPool).size() > 1);
}

allowed_software
traffic_rollouts::Choose(instant aNow,
                         pool_name const& aPool,
                         std::string_view aRequest)
{
  // The choice among pools and that among weights use other seeds.
  constexpr std::uint64_t kSeed = 2;
  if (!IsGated(aPool))
    return {};
  return mGate->Choose(
    aNow,
    aPool,
    XXH3_64bits_withSeed(aRequest.data(), aRequest.size(), kSeed),
    Counts(aPool));
}

allowed_software
traffic_rollouts::ChooseRepeat(instant aNow, pool_name const& aPool)
{
  if (!IsGated(aPool))
    return {};
  return mGate->ChooseRepeat(aNow, aPool, Counts(aPool));
}

allowed_software
traffic_rollouts::ChooseResumption(instant aNow,
                                   pool_name const& aPool,
                                   software_version const& aSoftware) const
{
  auto const found = mRollouts.find(aPool);
  if (found == mRollouts.end())
    return {};
  pool_rollout const& rollout = found->second;
  software_version const& target = rollout.mState.mOrder.mTarget;
  bool const isTarget = aSoftware == target;
  bool isAllowed = true;
  switch (rollout.mState.mPhase) {
    case rollout_phase::Observing:
    case rollout_phase::Ramping:
      isAllowed = !isTarget || aNow - rollout.mHeardAt <= kMaxSilence;
      break;
    case rollout_phase::Draining:
      // The leader completes once all instances have reported this, and then
      // other software is stopped at once.
      isAllowed = isTarget || !rollout.mIsDrained;
      break;
    case rollout_phase::Completed:
      isAllowed = isTarget;
      break;
    case rollout_phase::RolledBack:
      isAllowed = !isTarget;
      break;
  }
  return isAllowed ? allowed_software{} : Nothing(target, isTarget);
}

std::span<tracked_server* const>
traffic_rollouts::Restrict(std::span<tracked_server* const> aServers,
                           allowed_software const& aAllowed,
                           std::vector<tracked_server*>& aKept)
{
  if (aAllowed.mRule != software_rule::TargetOnly || aAllowed.mServers == 0 ||
      aAllowed.mTarget == nullptr)
    return aServers;
  std::vector<backend_server_id> ids;
  for (tracked_server const* const server : aServers) {
    if (!server->IsLeaving() &&
        server->mRegistered.mSoftware == *aAllowed.mTarget)
      ids.push_back(server->mRegistered.mId);
  }
  std::vector<backend_server_id> const first =
    FirstServers(ids, aAllowed.mServers);
  for (tracked_server* const server : aServers) {
    if (std::find(first.begin(), first.end(), server->mRegistered.mId) !=
        first.end())
      aKept.push_back(server);
  }
  return aKept;
}

bool
traffic_rollouts::IsRunning(pool_name const& aPool) const
{
  auto const found = mRollouts.find(aPool);
  return found != mRollouts.end() && !found->second.mState.IsEnded();
}

observed_attempt
traffic_rollouts::OnSent(instant aNow,
                         tracked_server const& aServer,
                         dispatch_route const& aRoute,
                         token_count aUncached)
{
  registered_server const& server = aServer.mRegistered;
  observed_attempt attempt{
    .mSoftware = { .mPool = server.mPool, .mSoftware = server.mSoftware },
    .mRoute = aRoute.mName,
    .mSizeClass = rollout_sample::SizeClassOf(aUncached),
    .mTargetLatency = aRoute.mTargetLatency,
    .mSentAt = aNow
  };
  ++mInFlight[attempt.mSoftware];
  if (IsRunning(server.mPool)) {
    rollout_order const& order = mRollouts.at(server.mPool).mState.mOrder;
    attempt.mOrder = order.mNumber;
    attempt.mSide = server.mSoftware == order.mTarget ? rollout_side::Target
                                                      : rollout_side::Others;
  }
  return attempt;
}

rollout_sample&
traffic_rollouts::SampleOf(observed_attempt const& aAttempt)
{
  rollout_sample const made{ .mOrder = *aAttempt.mOrder,
                             .mRoute = aAttempt.mRoute,
                             .mSide = aAttempt.mSide };
  auto const found = std::find_if(
    mSamples.begin(), mSamples.end(), [&made](rollout_sample const& aSample) {
      return aSample.HasKeyOf(made);
    });
  return found != mSamples.end() ? *found : mSamples.emplace_back(made);
}

void
traffic_rollouts::OnEnd(instant aNow, observed_attempt const& aAttempt)
{
  auto const inFlight = mInFlight.find(aAttempt.mSoftware);
  if (inFlight != mInFlight.end() && --inFlight->second == 0)
    mInFlight.erase(inFlight);
  bool const hasTimedOut = !aAttempt.mIsComplete && HasTimedOut(aNow, aAttempt);
  bool const hasFailed =
    aAttempt.mIsBroken || hasTimedOut || aAttempt.mStatus >= kLeastServerError;
  // A caller that left early says nothing about the server.
  bool const hasAnswer =
    hasFailed || aAttempt.mFirstPieceAt || aAttempt.mIsComplete;
  if (!aAttempt.mOrder || aAttempt.mIsIgnored || !hasAnswer)
    return;
  rollout_sample& sample = SampleOf(aAttempt);
  ++sample.mAnswers;
  sample.mFailures += hasFailed ? 1 : 0;
  sample.mRunTime += aNow - aAttempt.mSentAt;
  if (aAttempt.mFirstPieceAt || hasTimedOut)
    sample.mFirstEvent[aAttempt.mSizeClass].Add(
      aAttempt.mFirstPieceAt.value_or(aNow) - aAttempt.mSentAt);
  if (!aAttempt.mFirstPieceAt)
    return;
  // An answer that was cut off had paused for at least so long.
  duration const lastPause = aAttempt.mIsComplete || aAttempt.mIsBroken
                               ? duration{}
                               : aNow - aAttempt.mLastPieceAt;
  sample.mLongestPause.Add(std::max(aAttempt.mLongestPause, lastPause));
}

bool
traffic_rollouts::HasOthersInFlight(rollout_order const& aOrder) const
{
  return std::any_of(
    mInFlight.begin(), mInFlight.end(), [&aOrder](auto const& aEntry) {
      return aEntry.first.mPool == aOrder.mPool &&
             aEntry.first.mSoftware != aOrder.mTarget;
    });
}

void
traffic_rollouts::TakeReport(traffic_report& aReport)
{
  aReport.mRolloutSamples = std::exchange(mSamples, {});
  for (auto& [pool, rollout] : mRollouts) {
    if (rollout.mState.mPhase != rollout_phase::Draining ||
        HasOthersInFlight(rollout.mState.mOrder))
      continue;
    rollout.mIsDrained = true;
    aReport.mDrained.push_back({ .mOrder = rollout.mState.mOrder.mNumber,
                                 .mRevision = rollout.mState.mRevision });
  }
}

}
