#include <LibRollout/ExposureBudget.h>
#include <LibRollout/PoolGate.h>

#include <algorithm>
#include <chrono>

namespace lycheeseam {
namespace {

// Reports pass every 0.2 s or so over two or three hops. An instance that
// misses them for longer may be cut off from a leader that rolls back.
constexpr duration kMaxSilence = std::chrono::milliseconds{ 1500 };
// Entries of servers may be read before the order that names their software.
constexpr duration kNewSoftwareTime = std::chrono::seconds{ 3 };
// An instance's part is a few requests. It is rounded to the nearest number,
// so that the sum over all instances is as expected.
constexpr double kRounding = 0.5;
constexpr duration kLeastRateTime = std::chrono::milliseconds{ 500 };

// A number from 0 to 1 that is independent of other uses of the hash, and of
// earlier orders.
double
DrawOf(std::uint64_t aHash, std::uint64_t aOrder)
{
  // The finalizer of splitmix64.
  std::uint64_t value = aHash + (aOrder + 1) * 0x9e3779b97f4a7c15ULL;
  value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
  value ^= value >> 31U;
  constexpr double kUnit = 0x1p-53;
  return static_cast<double>(value >> 11U) * kUnit;
}

}

void
pool_gate::Apply(instant aNow, rollout_state const& aState)
{
  NoteEnd(aState);
  if (mState && !aState.IsNewerThan(*mState))
    return;
  if (!mState || aState.mOrder.mNumber != mState->mOrder.mNumber)
    Replace(aNow, aState);
  mState = aState;
  mHeardAt = aNow;
}

void
pool_gate::Replace(instant aNow, rollout_state const& aState)
{
  if (mState && mState->mPhase != rollout_phase::Completed &&
      mState->mOrder.mTarget != aState.mOrder.mTarget)
    mRejected.insert(mState->mOrder.mTarget);
  mOrderedAt = aNow;
  mArrived = 0;
  mSent = 0;
}

void
pool_gate::NoteEnd(rollout_state const& aState)
{
  software_version const& target = aState.mOrder.mTarget;
  if (aState.mPhase == rollout_phase::RolledBack)
    mRejected.insert(target);
  if (aState.mPhase == rollout_phase::Completed &&
      aState.mOrder.mNumber >= mCompletedNumber) {
    mCompleted = target;
    mCompletedNumber = aState.mOrder.mNumber;
  }
}

void
pool_gate::OnServers(instant aNow, std::span<software_count const> aCounts)
{
  bool const isFirst = mSeenAt.empty();
  for (software_count const& count : aCounts)
    mSeenAt.try_emplace(count.mSoftware, isFirst ? instant::min() : aNow);
}

bool
pool_gate::IsTooNew(instant aNow, instant aSeenAt) const
{
  if (aSeenAt == instant::min())
    return false;
  // While an order runs, software that came after it and that it doesn't name
  // is the target of an order to come.
  bool const isOrderRunning = mState && !mState->IsEnded();
  return aNow - aSeenAt < kNewSoftwareTime ||
         (isOrderRunning && aSeenAt > mOrderedAt);
}

void
pool_gate::UpdateWithheld(instant aNow, std::span<software_count const> aCounts)
{
  mWithheld.clear();
  for (auto const& [software, seenAt] : mSeenAt) {
    if (mCompleted == software)
      continue;
    if (mRejected.contains(software) || IsTooNew(aNow, seenAt))
      mWithheld.push_back(software);
  }
  // An instance may learn of the target's servers before all others. What is
  // neither target nor rejected is then what ran before the order.
  if (mState && !mState->IsEnded() && !HasOthers(aCounts))
    mWithheld.assign(mRejected.begin(), mRejected.end());
}

allowed_software
pool_gate::Allow(software_rule aRule) const
{
  return { .mRule = aRule,
           .mTarget = mState ? &mState->mOrder.mTarget : nullptr,
           .mServers = mState ? mState->mServers : 0,
           .mOnlyOther = mCompleted ? &*mCompleted : nullptr,
           .mWithheld = mWithheld };
}

bool
pool_gate::HasOthers(std::span<software_count const> aCounts) const
{
  allowed_software const others = Allow(software_rule::OthersOnly);
  return std::any_of(
    aCounts.begin(), aCounts.end(), [&others](software_count const& aCount) {
      return aCount.mReady > 0 && others.Allows(aCount.mSoftware);
    });
}

bool
pool_gate::HasTarget(std::span<software_count const> aCounts) const
{
  return std::any_of(
    aCounts.begin(), aCounts.end(), [this](software_count const& aCount) {
      return aCount.mReady > 0 && aCount.mSoftware == mState->mOrder.mTarget;
    });
}

software_rule
pool_gate::RuleFor(bool aIsForTarget,
                   std::span<software_count const> aCounts) const
{
  switch (mState->mPhase) {
    case rollout_phase::RolledBack:
      return software_rule::OthersOnly;
    case rollout_phase::Draining:
    case rollout_phase::Completed:
      // Also when the leader isn't heard or no target server is ready: this
      // instance may have been counted as drained, and the old servers stop
      // once all instances are.
      return software_rule::TargetOnly;
    case rollout_phase::Observing:
    case rollout_phase::Ramping:
      break;
  }
  if (!HasTarget(aCounts))
    return software_rule::OthersOnly;
  if (aIsForTarget || !HasOthers(aCounts))
    return software_rule::TargetOnly;
  return software_rule::OthersOnly;
}

bool
pool_gate::IsWithinPart(instant aNow, rollout_limits const& aLimits) const
{
  duration const counted = std::max(aNow - mOrderedAt, kLeastRateTime);
  duration const elapsed = mState->mElapsed + (aNow - mHeardAt);
  double const arrived = static_cast<double>(mArrived);
  // The slack is the leader's: an instance doesn't know how many share it.
  exposure_budget const budget{ aLimits.mShare, 0 };
  return budget.Left(
           { .mArrived = arrived,
             .mSent = static_cast<double>(mSent),
             .mRate = arrived / std::chrono::duration<double>(counted).count(),
             .mLeft = mState->mOrder.mDuration - elapsed }) >= kRounding;
}

bool
pool_gate::IsForTarget(instant aNow,
                       rollout_limits const& aLimits,
                       std::uint64_t aHash) const
{
  return aNow - mHeardAt <= kMaxSilence &&
         DrawOf(aHash, mState->mOrder.mNumber) < mState->mShare &&
         IsWithinPart(aNow, aLimits);
}

allowed_software
pool_gate::Choose(instant aNow,
                  rollout_limits const& aLimits,
                  std::uint64_t aHash,
                  std::span<software_count const> aCounts)
{
  OnServers(aNow, aCounts);
  UpdateWithheld(aNow, aCounts);
  if (!mState)
    return Allow(software_rule::Any);
  ++mArrived;
  allowed_software allowed =
    Allow(RuleFor(IsForTarget(aNow, aLimits, aHash), aCounts));
  if (allowed.mRule == software_rule::TargetOnly)
    ++mSent;
  return allowed;
}

allowed_software
pool_gate::ChooseRepeat(instant aNow, std::span<software_count const> aCounts)
{
  OnServers(aNow, aCounts);
  UpdateWithheld(aNow, aCounts);
  if (!mState)
    return Allow(software_rule::Any);
  allowed_software const allowed = Allow(RuleFor(false, aCounts));
  if (allowed.mRule == software_rule::TargetOnly)
    ++mSent;
  return allowed;
}

}
