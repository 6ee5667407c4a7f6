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
// version less time to turn bad after it. Requests that run long need more: of
// several hundred, the longest takes about 3.5 times the mean.
constexpr double kDrainPart = 0.3;
constexpr double kReportPart = 0.1;
constexpr double kMaxDrainPart = 0.5;
constexpr duration kMaxDrainTime = seconds{ 8 };
constexpr double kLongestRun = 3.5;
// A burst shows whether the target has turned bad, at a cost that doesn't
// depend on how long its answers take. The leader waits for them and moves all
// requests only then.
constexpr duration kBurstTime = milliseconds{ 400 };
constexpr duration kBurstAnswerTime = milliseconds{ 1500 };
// A target whose servers come up late is watched for this part of the time
// before the burst.
constexpr double kWatchPart = 0.08;
// Without a move until this part of the time is left, running requests can't
// end in time.
constexpr double kEndPart = 0.06;

// The parts of the exposure that are used before the burst, and until the move.
// The rest is for the time from the move until a target that turned bad is
// known: about 1 s of all requests on an order of 12 s.
constexpr double kHoldPart = 0.16;
constexpr double kBurstPart = 0.32;
constexpr double kMaxHoldShare = 0.15;
constexpr double kMaxBurstShare = 0.5;
// The phase is Ramping once the target has answered this often.
constexpr std::uint64_t kFirstAnswers = 10;

// How much more load than in a pool of only its own software a target server
// gets, which shows versions that are bad under load. Less if so many of its
// slots would be taken that a good version slows down.
constexpr double kMaxLoadFactor = 2;
constexpr double kLeastLoadFactor = 1.15;
constexpr double kLoadFactorIfUnknown = 1.25;
constexpr double kMaxTakenSlots = 0.7;

constexpr duration kLeastTime = milliseconds{ 400 };
constexpr double kLeastRate = 1;

duration
PartOf(duration aTime, double aPart)
{
  return std::chrono::duration_cast<duration>(aTime * aPart);
}

double
LoadFactor(rollout_inputs const& aInputs)
{
  if (aInputs.mRunning <= 0)
    return kLoadFactorIfUnknown;
  double const slots = std::min(aInputs.mTarget.mSlots, aInputs.mOthers.mSlots);
  return std::clamp(kMaxTakenSlots * slots / aInputs.mRunning,
                    kLeastLoadFactor,
                    kMaxLoadFactor);
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
  double const factor = LoadFactor(aInputs);
  double const servers =
    std::clamp(std::floor(aStep.mShare * usual / factor), 1.0, target);
  aStep.mShare = std::min(aStep.mShare, servers * factor / usual);
  aStep.mServers = servers < target ? static_cast<std::uint32_t>(servers) : 0;
  return aStep;
}

}

duration
share_schedule::WatchTime(duration aOrderTime)
{
  return PartOf(aOrderTime, kWatchPart);
}

share_schedule::share_schedule(options const& aOptions)
  : mOptions(aOptions)
{
  constexpr duration kCheckTime = kBurstTime + kBurstAnswerTime;
  duration const time = aOptions.mOrderTime;
  duration const shared = aOptions.mFirstSharedAt.value_or(time);
  mBurstAt =
    std::max(time - DrainTime() - kCheckTime, shared + WatchTime(time));
  mMoveAt = mBurstAt + kCheckTime;
}

duration
share_schedule::DrainTime() const
{
  duration const time = mOptions.mOrderTime;
  duration const least = PartOf(time, kDrainPart);
  duration const needed =
    PartOf(time, kReportPart) + PartOf(mOptions.mRunTime, kLongestRun);
  duration const most = std::max(least, PartOf(time, kMaxDrainPart));
  return std::min(std::clamp(needed, least, most), kMaxDrainTime);
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
share_schedule::ShareFor(double aPart, duration aTime) const
{
  exposure_budget const budget{ mOptions.mLimits.mShare,
                                mOptions.mLimits.mSlack };
  double const left =
    aPart * budget.Total(mOptions.mUsage) - mOptions.mUsage.mSent;
  double const time =
    std::chrono::duration<double>(std::max(aTime, kLeastTime)).count();
  return std::max(0.0, left) /
         (time * std::max(mOptions.mUsage.mRate, kLeastRate));
}

rollout_step
share_schedule::HoldStep(duration aElapsed, rollout_inputs const& aInputs) const
{
  duration const shared = mOptions.mFirstSharedAt.value_or(aElapsed);
  duration const until =
    mOptions.mFirstSharedAt
      ? mBurstAt
      : mOptions.mOrderTime - DrainTime() - kBurstTime - kBurstAnswerTime;
  double const share =
    std::min(kMaxHoldShare, ShareFor(kHoldPart, until - aElapsed));
  bool const isFirst = aElapsed - shared < WatchTime(mOptions.mOrderTime) ||
                       aInputs.mTargetAnswers < kFirstAnswers;
  return { .mPhase =
             isFirst ? rollout_phase::Observing : rollout_phase::Ramping,
           .mShare = share };
}

rollout_step
share_schedule::StepAt(duration aElapsed, rollout_inputs const& aInputs) const
{
  if (aInputs.mTarget.mServers == 0)
    return { .mPhase = mOptions.mFirstSharedAt ? rollout_phase::Ramping
                                               : rollout_phase::Observing };
  if (aElapsed < mBurstAt)
    return WithServers(HoldStep(aElapsed, aInputs), aInputs);
  if (aElapsed >= mBurstAt + kBurstTime)
    return { .mPhase = rollout_phase::Ramping };
  double const share =
    std::min(kMaxBurstShare, ShareFor(kBurstPart, kBurstTime));
  return WithServers({ .mPhase = rollout_phase::Ramping, .mShare = share },
                     aInputs);
}

}
