#include <LibRollout/RolloutPlan.h>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace lycheeseam {
namespace {

// How much of its slots the running requests of a pool may take, so that none
// waits when some servers get more than others.
constexpr double kUsableSlots = 0.8;
// How much of the other software's slots the target needs: at least this also
// if few requests are running now, and so much if that isn't known.
constexpr double kLeastSlots = 0.5;
constexpr double kLeastSlotsIfUnknown = 0.75;
// Requests that were sent to the target and may still be unanswered, and the
// part of the others that must be answered before all requests move.
constexpr double kUnanswered = 20;
constexpr double kAnsweredPart = 0.33;
// A share that differs by less isn't worth a new state.
constexpr double kShareChange = 0.2;
// A new leader tests the target with a burst before it moves all requests, but
// not later than if the target had got its first requests at this part of the
// time.
constexpr double kWatchAgainPart = 0.6;
// What a new leader assumes the target got at the restored share since.
constexpr duration kRestoredTime = std::chrono::milliseconds{ 1500 };

double
Seconds(duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

// Enough slots for the pool's load; servers that come up but can't carry it
// would make a good version slow.
bool
CanCarryLoad(rollout_inputs const& aInputs)
{
  double const slots = aInputs.mTarget.mSlots;
  double const others = aInputs.mOthers.mSlots;
  if (slots <= 0)
    return false;
  if (aInputs.mRunning <= 0)
    return slots >= kLeastSlotsIfUnknown * others;
  return slots >= kLeastSlots * others &&
         slots * kUsableSlots >= aInputs.mRunning;
}

// By Little's law.
duration
RunTime(rollout_inputs const& aInputs)
{
  if (aInputs.mRate <= 0)
    return {};
  return std::chrono::duration_cast<duration>(
    std::chrono::duration<double>{ aInputs.mRunning / aInputs.mRate });
}

}

rollout_plan::rollout_plan(rollout_order const& aOrder,
                           rollout_limits const& aLimits,
                           duration aElapsed)
  : mLimits(aLimits)
  , mState{ .mOrder = aOrder }
  , mElapsedBefore(aElapsed)
{
}

duration
rollout_plan::Elapsed(instant aNow) const
{
  return mStartedAt ? aNow - *mStartedAt : mElapsedBefore;
}

rollout_state
rollout_plan::State(instant aNow) const
{
  rollout_state state = mState;
  state.mElapsed = Elapsed(aNow);
  return state;
}

void
rollout_plan::Account(instant aNow, rollout_inputs const& aInputs)
{
  if (!mStartedAt)
    mStartedAt = aNow - mElapsedBefore;
  duration const elapsed = Elapsed(aNow);
  if (mAccountedAt) {
    double const arrived = aInputs.mRate * Seconds(aNow - *mAccountedAt);
    mUsage.mArrived += arrived;
    mUsage.mSent += arrived * mState.mShare;
  } else {
    mUsage.mArrived = aInputs.mRate * Seconds(elapsed);
    mUsage.mSent =
      aInputs.mRate * mState.mShare * Seconds(std::min(elapsed, kRestoredTime));
  }
  mUsage.mSent =
    std::max(mUsage.mSent, static_cast<double>(aInputs.mTargetAnswers));
  mUsage.mRate = aInputs.mRate;
  mUsage.mLeft = mState.mOrder.mDuration - elapsed;
  mAccountedAt = aNow;
}

rollout_step
rollout_plan::NextStep(duration aElapsed, rollout_inputs const& aInputs) const
{
  rollout_step const same{ .mPhase = mState.mPhase,
                           .mReason = mState.mReason,
                           .mShare = mState.mShare,
                           .mServers = mState.mServers };
  auto const rolledBack = [](rollout_reason aReason) {
    return rollout_step{ .mPhase = rollout_phase::RolledBack,
                         .mReason = aReason };
  };
  if (mState.IsEnded())
    return same;
  if (aInputs.mVerdict.mKind == verdict_kind::Bad)
    return rolledBack(aInputs.mVerdict.mReason);
  if (mState.mPhase == rollout_phase::Draining) {
    if (aInputs.mTarget.mServers == 0)
      return rolledBack(rollout_reason::TooFewServers);
    // An order whose running requests last beyond its end stays in this phase:
    // the target is good, and moving the requests back would harm them.
    return aInputs.mIsDrained
             ? rollout_step{ .mPhase = rollout_phase::Completed, .mShare = 1 }
             : same;
  }
  share_schedule const schedule{ { .mOrderTime = mState.mOrder.mDuration,
                                   .mLimits = mLimits,
                                   .mFirstSharedAt = mFirstSharedAt,
                                   .mUsage = mUsage,
                                   .mRunTime = RunTime(aInputs) } };
  if (schedule.IsOver(aElapsed))
    return rolledBack(rollout_reason::TooFewServers);
  bool const isAnswering = static_cast<double>(aInputs.mTargetAnswers) >=
                           (mUsage.mSent - kUnanswered) * kAnsweredPart;
  // Without other servers the target has all requests already.
  bool const isDue =
    schedule.IsMoveDue(aElapsed) || aInputs.mOthers.mServers == 0;
  if (isDue && isAnswering && CanCarryLoad(aInputs))
    return { .mPhase = rollout_phase::Draining, .mShare = 1 };
  return schedule.StepAt(aElapsed, aInputs);
}

bool
rollout_plan::Differs(rollout_step const& aStep) const
{
  if (mState.mRevision == 0 || aStep.mPhase != mState.mPhase)
    return true;
  double const change = std::abs(aStep.mShare - mState.mShare);
  return change > kShareChange * mState.mShare ||
         (aStep.mShare <= 0 && mState.mShare > 0);
}

std::optional<rollout_state>
rollout_plan::Tick(instant aNow, rollout_inputs const& aInputs)
{
  Account(aNow, aInputs);
  duration const elapsed = Elapsed(aNow);
  rollout_step const step = NextStep(elapsed, aInputs);
  // Answers may be known though the state of an earlier leader isn't.
  bool const isShared = step.mShare > 0 || aInputs.mTargetAnswers > 0;
  if (isShared && !mFirstSharedAt)
    mFirstSharedAt = elapsed;
  if (!Differs(step))
    return std::nullopt;
  mState.mPhase = step.mPhase;
  mState.mReason = step.mReason;
  mState.mShare = step.mShare;
  mState.mServers = step.mServers;
  ++mState.mRevision;
  return State(aNow);
}

void
rollout_plan::Restore(instant aNow, rollout_state const& aState)
{
  if (aState.mOrder.mPool != mState.mOrder.mPool ||
      aState.mOrder.mNumber != mState.mOrder.mNumber ||
      !aState.IsNewerThan(State(aNow)))
    return;
  duration const elapsed = std::max(aState.mElapsed, Elapsed(aNow));
  mState = aState;
  mElapsedBefore = elapsed;
  mStartedAt = aNow - elapsed;
  mAccountedAt.reset();
  bool const isShared =
    aState.mShare > 0 || aState.mPhase != rollout_phase::Observing;
  duration const time = mState.mOrder.mDuration;
  if (isShared)
    mFirstSharedAt =
      std::clamp(elapsed - share_schedule::WatchTime(time),
                 duration::zero(),
                 std::chrono::duration_cast<duration>(time * kWatchAgainPart));
}

bool
rollout_plan::IsRepeated(instant aNow, rollout_order const& aOrder) const
{
  return aOrder.mPool == mState.mOrder.mPool &&
         aOrder.mTarget == mState.mOrder.mTarget &&
         (mState.mPhase != rollout_phase::RolledBack ||
          Elapsed(aNow) <= mState.mOrder.mDuration);
}

std::optional<rollout_state>
rollout_plan::Replace(instant aNow,
                      rollout_order const& aOrder,
                      duration aElapsed)
{
  if (aOrder.mNumber <= mState.mOrder.mNumber || IsRepeated(aNow, aOrder))
    return std::nullopt;
  std::optional<rollout_state> ended;
  if (!mState.IsEnded()) {
    ended = State(aNow);
    ended->mPhase = rollout_phase::RolledBack;
    ended->mReason = rollout_reason::Replaced;
    ended->mShare = 0;
    ended->mServers = 0;
    ++ended->mRevision;
  }
  *this = rollout_plan{ aOrder, mLimits, aElapsed };
  return ended;
}

}
