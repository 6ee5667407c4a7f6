#include <LibRollout/ShareSchedule.h>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace lycheeseam {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// All requests move with this part of the time left: running requests end,
// every instance reports it, and the end is stored. A later move leaves a
// version less time to turn bad after it.
constexpr double kDrainPart = 0.3;
constexpr duration kMaxDrainTime = seconds{ 8 };
// The last step before the move lasts about as long as the leader takes to
// notice what it shows and to tell all instances.
constexpr duration kLastStepTime = milliseconds{ 800 };
// A target whose servers come up late is watched for these parts of the time
// before the last step and the move.
constexpr double kLastStepAfter = 0.08;
constexpr double kMoveAfter = 0.15;
// Without a move until this part of the time is left, running requests can't
// end in time.
constexpr double kEndPart = 0.06;

// The parts of the exposure that are used before the last step, and until the
// move. The rest is for the time from the move until a target that turned bad
// is known: about 0.8 s of all requests on an order of 12 s.
constexpr double kHoldPart = 0.25;
constexpr double kLastStepPart = 0.4;
constexpr double kMaxHoldShare = 0.15;
constexpr double kMaxLastShare = 0.5;
// The first answers come from a smaller share.
constexpr double kFirstPart = 0.6;
constexpr std::uint64_t kFirstAnswers = 10;

// How much more load than in a pool of only its own software a target server
// gets, which shows versions that are bad under load.
constexpr double kLoadFactor = 1.25;

constexpr duration kLeastTime = milliseconds{ 500 };
constexpr double kLeastRate = 1;

duration
PartOf(duration aTime, double aPart)
{
  return std::chrono::duration_cast<duration>(aTime * aPart);
}

// Limits the target's servers so that each has at least the load of the other
// servers, and the share so that none has much more.
rollout_step
WithServers(rollout_step aStep, rollout_inputs const& aInputs)
{
  double const target = aInputs.mTarget.mServers;
  double const others = aInputs.mOthers.mServers;
  if (aStep.mShare <= 0 || target < 1 || others < 1)
    return aStep;
  // The number of servers among which a share of 1 gives each the usual load.
  double const usual = std::min(target, others / (1 - aStep.mShare));
  double const servers =
    std::clamp(std::floor(aStep.mShare * usual / kLoadFactor), 1.0, target);
  aStep.mShare = std::min(aStep.mShare, servers * kLoadFactor / usual);
  aStep.mServers = servers < target ? static_cast<std::uint32_t>(servers) : 0;
  return aStep;
}

}

share_schedule::share_schedule(options const& aOptions)
  : mOptions(aOptions)
{
  duration const time = aOptions.mOrderTime;
  duration const drain = std::min(PartOf(time, kDrainPart), kMaxDrainTime);
  duration const shared = aOptions.mFirstSharedAt.value_or(time);
  mMoveAt = std::max(time - drain, shared + PartOf(time, kMoveAfter));
  mLastStepAt = std::max(time - drain - kLastStepTime,
                         shared + PartOf(time, kLastStepAfter));
}

bool
share_schedule::IsMoveDue(duration aElapsed) const
{
  return aElapsed >= mMoveAt;
}

bool
share_schedule::IsOver(duration aElapsed) const
{
  return aElapsed >=
         mOptions.mOrderTime - PartOf(mOptions.mOrderTime, kEndPart);
}

double
share_schedule::ShareFor(double aPart, duration aTimeLeft) const
{
  exposure_budget const budget{ mOptions.mLimits.mShare,
                                mOptions.mLimits.mSlack };
  double const left =
    aPart * budget.Total(mOptions.mUsage) - mOptions.mUsage.mSent;
  double const time =
    std::chrono::duration<double>(std::max(aTimeLeft, kLeastTime)).count();
  return std::max(0.0, left) /
         (time * std::max(mOptions.mUsage.mRate, kLeastRate));
}

rollout_step
share_schedule::HoldStep(duration aElapsed, rollout_inputs const& aInputs) const
{
  duration const time = mOptions.mOrderTime;
  duration const shared = mOptions.mFirstSharedAt.value_or(aElapsed);
  duration const planned =
    time - std::min(PartOf(time, kDrainPart), kMaxDrainTime) - kLastStepTime;
  double const share = std::min(
    kMaxHoldShare,
    ShareFor(kHoldPart, std::max(planned, shared + kLeastTime) - aElapsed));
  bool const isFirst = aElapsed - shared < PartOf(time, kLastStepAfter) ||
                       aInputs.mTargetAnswers < kFirstAnswers;
  if (isFirst)
    return { .mShare = share * kFirstPart };
  return { .mPhase = rollout_phase::Ramping, .mShare = share };
}

rollout_step
share_schedule::StepAt(duration aElapsed, rollout_inputs const& aInputs) const
{
  if (aInputs.mTarget.mServers == 0)
    return { .mPhase = mOptions.mFirstSharedAt ? rollout_phase::Ramping
                                               : rollout_phase::Observing };
  if (aElapsed < mLastStepAt)
    return WithServers(HoldStep(aElapsed, aInputs), aInputs);
  double const share =
    std::min(kMaxLastShare, ShareFor(kLastStepPart, kLastStepTime));
  return WithServers({ .mPhase = rollout_phase::Ramping, .mShare = share },
                     aInputs);
}

}
