#include "SimulatedFleet.h"

#include <algorithm>

namespace lycheeseam {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kSlots = 32;
constexpr duration kPublishInterval = milliseconds{ 200 };
constexpr duration kTickInterval = milliseconds{ 100 };

}

rollout_inputs
simulated_fleet::Inputs() const
{
  std::uint32_t const ready = ReadyTarget();
  std::uint32_t const old = static_cast<std::uint32_t>(mOld.size());
  std::size_t running = 0;
  for (std::vector<server> const* const servers : { &mOld, &mNew }) {
    for (server const& each : *servers)
      running += each.mRunning;
  }
  bool const isDrained =
    std::all_of(mMembers.begin(), mMembers.end(), [this](member const& aEach) {
      return mStored.mPhase == rollout_phase::Draining &&
             aEach.mDrainedRevision == mStored.mRevision;
    });
  return { .mTarget = { .mServers = ready, .mSlots = ready * kSlots },
           .mOthers = { .mServers = old, .mSlots = old * kSlots },
           .mRate = mOptions.mRate,
           .mRunning = static_cast<double>(running),
           .mIsDrained = isDrained,
           .mVerdict = mJudge.Verdict(mNow),
           .mTargetAnswers = mJudge.TargetAnswers() };
}

void
simulated_fleet::Tick()
{
  At(mNow + kTickInterval, [this]() { Tick(); });
  bool const isFailed = mOptions.mLeaderFailsAt &&
                        SinceOrder() >= *mOptions.mLeaderFailsAt && mPlan;
  if (isFailed) {
    mPlan.reset();
    mOptions.mLeaderFailsAt.reset();
    At(mNow + mOptions.mTakeoverTime, [this]() { TakeOver(); });
  }
  if (!mPlan || mStored.IsEnded())
    return;
  if (mOptions.mRepeatedAt && SinceOrder() >= *mOptions.mRepeatedAt) {
    rollout_order repeated = mOrder;
    ++repeated.mNumber;
    mPlan->Replace(mNow, repeated, duration::zero());
  }
  std::optional<rollout_state> const changed = mPlan->Tick(mNow, Inputs());
  if (changed)
    OnState(*changed);
}

void
simulated_fleet::OnState(rollout_state const& aState)
{
  mStored = aState;
  Publish();
  if (!aState.IsEnded())
    return;
  mResult.mEndedAt = SinceOrder();
  if (aState.mPhase != rollout_phase::Completed)
    return;
  for (server const& each : mOld)
    mResult.mRunningOnOld += each.mRunning;
}

void
simulated_fleet::TakeOver()
{
  mPlan.emplace(mOrder, rollout_limits{}, SinceOrder());
  mPlan->Restore(mNow, mStored);
}

void
simulated_fleet::PublishRegularly()
{
  At(mNow + kPublishInterval, [this]() { PublishRegularly(); });
  Publish();
}

void
simulated_fleet::Publish()
{
  if (!mPlan)
    return;
  rollout_state const state = mPlan->State(mNow);
  for (std::size_t i = 0; i < mMembers.size(); ++i) {
    if (IsCutOff(i))
      continue;
    At(mNow + Random(0.05, 0.35), [this, i, state]() {
      mMembers[i].mGate.Apply(mNow, std::span{ &state, 1 });
      if (state.IsNewerThan(mMembers[i].mKnown))
        mMembers[i].mKnown = state;
    });
  }
}

simulation_result
simulated_fleet::Run()
{
  // Instances know the old servers before the order.
  std::vector<software_count> const before{
    { software_version{ "old" }, static_cast<std::uint32_t>(mOld.size()) }
  };
  for (std::size_t i = 0; i < mMembers.size(); ++i) {
    mMembers[i].mGate.OnServers(mNow, mOrder.mPool, before);
    At(mNow + Random(0, 0.2), [this, i]() { Report(i); });
  }
  At(mNow, [this]() { Arrive(); });
  At(mNow + Random(0, 0.1), [this]() { Tick(); });
  PublishRegularly();
  instant const end = mNow + mOptions.mOrderTime + seconds{ 1 };
  while (!mEvents.empty() && mEvents.begin()->first <= end) {
    auto const event = mEvents.extract(mEvents.begin());
    mNow = event.key();
    event.mapped()();
  }
  return mResult;
}

}
