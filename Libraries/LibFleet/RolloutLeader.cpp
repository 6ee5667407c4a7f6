#include <LibFleet/CountSoftware.h>
#include <LibFleet/LogRollout.h>
#include <LibFleet/RolloutLeader.h>

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

namespace lycheeseam {

namespace {

constexpr std::chrono::milliseconds kStepInterval{ 100 };

// An instance that has just started, or that changes its place in the tree of
// reports, is in the reports again within this time.
constexpr std::chrono::milliseconds kDrainedTime{ 300 };

}

void
rollout_leader::Clear()
{
  mPlans.clear();
  mDrainedSince.clear();
}

bool
rollout_leader::Tick(instant aNow,
                     std::uint64_t aLease,
                     rollout_context const& aContext)
{
  if (aNow < mNextStepAt)
    return false;
  mNextStepAt = aNow + kStepInterval;
  mLease = aLease;
  for (known_order const& known : aContext.mOrders)
    Step(aNow, aContext, known);
  return std::exchange(mHasChanged, false);
}

void
rollout_leader::Step(instant aNow,
                     rollout_context const& aContext,
                     known_order const& aKnown)
{
  rollout_plan& plan = PlanOf(aNow, aKnown);
  UpdateOrder(aNow, aKnown, plan);
  rollout_state const before = plan.State(aNow);
  if (before.IsEnded())
    return AnnounceEnd(aNow, before);
  rollout_inputs const inputs = MakeInputs(aNow, aContext, before);
  std::optional<rollout_state> const step = plan.Tick(aNow, inputs);
  if (step) {
    if (inputs.mVerdict.mKind == verdict_kind::Bad)
      LogRolloutBad(*step, inputs.mVerdict);
    LogRolloutStep(*step, plan.Exposure());
  }
  rollout_state const state = plan.State(aNow);
  if (state.IsEnded())
    return AnnounceEnd(aNow, state);
  Announce(aNow, state);
}

rollout_plan&
rollout_leader::PlanOf(instant aNow, known_order const& aKnown)
{
  auto const found = mPlans.find(aKnown.mOrder.mPool);
  if (found != mPlans.end())
    return found->second;
  rollout_notice const* const newest = mStates.Newest(aKnown.mOrder.mPool);
  rollout_plan plan{ newest ? newest->mState.mOrder : aKnown.mOrder,
                     mLimits,
                     newest ? newest->mState.mElapsed
                            : aNow - aKnown.mLearnedAt };
  if (newest != nullptr)
    plan.Restore(aNow, newest->mState);
  return mPlans.emplace(aKnown.mOrder.mPool, plan).first->second;
}

void
rollout_leader::UpdateOrder(instant aNow,
                            known_order const& aKnown,
                            rollout_plan& aPlan)
{
  rollout_order const& order = aKnown.mOrder;
  if (order.mNumber <= aPlan.State(aNow).mOrder.mNumber ||
      mRepeated[order.mPool] == order.mNumber)
    return;
  if (aPlan.IsRepeated(aNow, order)) {
    mRepeated[order.mPool] = order.mNumber;
    return;
  }
  mLedger.Drop(order.mPool);
  std::optional<rollout_state> const ended =
    aPlan.Replace(aNow, order, aNow - aKnown.mLearnedAt);
  if (!ended)
    return;
  LogRolloutEnded(*ended);
  mLedger.QueueStatus(*ended);
  Announce(aNow, *ended);
}

rollout_inputs
rollout_leader::MakeInputs(instant aNow,
                           rollout_context const& aContext,
                           rollout_state const& aState)
{
  rollout_order const& order = aState.mOrder;
  rollout_inputs inputs = CountSoftware(aContext.mServers, order);
  inputs.mRate = mEvidence.Rate(aNow, order.mNumber);
  inputs.mRunning = mEvidence.Running(aNow, order.mNumber);
  inputs.mIsDrained = IsDrained(aNow, aContext, aState);
  if (rollout_judge const* const judge = mEvidence.JudgeOf(order.mNumber)) {
    inputs.mVerdict = judge->Verdict(aNow);
    inputs.mTargetAnswers = judge->TargetAnswers();
  }
  return inputs;
}

bool
rollout_leader::IsDrained(instant aNow,
                          rollout_context const& aContext,
                          rollout_state const& aState)
{
  bool const isDrained =
    std::any_of(aContext.mDrained.begin(),
                aContext.mDrained.end(),
                [&aState](rollout_drain const& aDrain) {
                  return aDrain.mOrder == aState.mOrder.mNumber &&
                         aDrain.mRevision == aState.mRevision;
                });
  if (!isDrained) {
    mDrainedSince.erase(aState.mOrder.mPool);
    return false;
  }
  instant const since =
    mDrainedSince.try_emplace(aState.mOrder.mPool, aNow).first->second;
  return aNow - since >= kDrainedTime;
}

void
rollout_leader::Announce(instant aNow, rollout_state const& aState)
{
  mHasChanged |= mStates.Merge(aNow, { .mLease = mLease, .mState = aState });
}

// Others learn of a completion once it is stored. Until then they keep to the
// step before, from a leader that they hear.
void
rollout_leader::AnnounceEnd(instant aNow, rollout_state const& aState)
{
  rollout_notice const* const known = mStates.Newest(aState.mOrder.mPool);
  bool const isKnown = known != nullptr && known->mState.IsEnded() &&
                       known->mState.mOrder == aState.mOrder;
  if (isKnown)
    return;
  if (aState.mPhase == rollout_phase::Completed && known != nullptr) {
    rollout_state before = known->mState;
    before.mElapsed = aState.mElapsed;
    mLedger.Hold({ .mLease = mLease, .mState = aState });
    return Announce(aNow, before);
  }
  LogRolloutEnded(aState);
  Announce(aNow, aState);
}

}
