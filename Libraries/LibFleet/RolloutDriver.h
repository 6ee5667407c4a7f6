#pragma once

#include <LibDispatch/FleetView.h>
#include <LibFleet/CountSoftware.h>
#include <LibFleet/FleetMetrics.h>
#include <LibFleet/LogRollout.h>
#include <LibFleet/RolloutContext.h>
#include <LibFleet/RolloutEvidence.h>
#include <LibFleet/RolloutLedger.h>
#include <LibFleet/RolloutStore.h>
#include <LibGateway/TrafficReport.h>
#include <LibRollout/RolloutLimits.h>
#include <LibRollout/RolloutPlan.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace lycheeseam {

/// Keeps what is known of rollouts, and leads them while this instance holds
/// the lease on orders. Runs on the control thread.
///
/// A leader goes on without the store, because a bad version must be rolled
/// back; but it completes nothing before that is stored.
template<fleet_dialect Dialect>
class rollout_driver
{
public:
  /// Without limits it does nothing.
  rollout_driver(http_client& aClient,
                 endpoint aStore,
                 std::optional<rollout_limits> const& aLimits)
    : mStore(aClient, std::move(aStore))
    , mLimits(aLimits)
  {
  }

  /// The traffic thread observed something.
  void Add(instant aNow, traffic_report const& aReport)
  {
    mEvidence.Add(aNow, aReport.mRolloutSamples);
    mOwnDrained = aReport.mDrained;
  }

  /// A peer reports; true when a step has changed.
  bool Merge(instant aNow, fleet_report const& aReport)
  {
    mEvidence.Add(aNow, aReport.mRolloutSamples);
    return MergeStates(aNow, aReport.mRollouts);
  }

  /// Does what is due; true when a step has changed.
  bool Tick(instant aNow, rollout_context const& aContext)
  {
    if (!mLimits)
      return false;
    mOrders.assign(aContext.mOrders.begin(), aContext.mOrders.end());
    UpdateLead(aContext);
    if (!mStore.IsRead() && mStore.IsFree(aNow) &&
        (mIsLeading || IsReadDue(aNow)))
      Read();
    if (mIsLeading && mHasRead) {
      Step(aNow, aContext);
      Write(aNow);
    }
    return std::exchange(mHasChanged, false);
  }

  /// The store has come back from an older copy of itself.
  void OnStoreRestored()
  {
    mStore.Reset();
    mLedger.Clear();
  }

  /// True while this instance should keep the lease.
  [[nodiscard]] bool IsLeaseNeeded() const
  {
    return mIsLeading && (!mHasRead || mLedger.HasRunning(mStates) ||
                          mLedger.NextPool(mStates) || mLedger.NextStatus());
  }

  /// The orders that this instance has drained.
  [[nodiscard]] std::vector<rollout_drain> const& OwnDrained() const noexcept
  {
    return mOwnDrained;
  }

  /// Adds what is known to this instance's own report.
  void AddTo(fleet_report& aReport) const
  {
    aReport.mRollouts = mStates.List();
    aReport.mDrained = mOwnDrained;
  }

  /// Adds what is known to the view for the traffic thread. An order whose
  /// leader hasn't been heard yet gets a state without a share.
  void Describe(fleet_view& aView) const
  {
    aView.mRollouts.clear();
    for (rollout_notice const& notice : mStates.List())
      aView.mRollouts.push_back(notice.mState);
    for (known_order const& known : mOrders) {
      if (mStates.Newest(known.mOrder.mPool) == nullptr)
        aView.mRollouts.push_back({ .mOrder = known.mOrder });
    }
  }

  void SetGauges(fleet_metrics& aMetrics) const
  {
    for (pool_name const& pool : mStates.Pools()) {
      rollout_state const& state = mStates.Newest(pool)->mState;
      rollout_judge const* const judge =
        mEvidence.JudgeOf(state.mOrder.mNumber);
      aMetrics.SetRollout(
        pool, state.mShare, judge == nullptr ? 0 : judge->BadAnswers());
    }
  }

private:
  static constexpr std::chrono::milliseconds kStepInterval{ 100 };
  // An instance without contact to the leader learns from the store that a
  // rollout has ended.
  static constexpr std::chrono::milliseconds kReadInterval{ 500 };
  // An instance that has just started, or that changes its place in the tree of
  // reports, is in the reports again within this time.
  static constexpr std::chrono::milliseconds kDrainedTime{ 300 };

  void UpdateLead(rollout_context const& aContext)
  {
    mLease = std::max(mLease, aContext.mLease);
    mNewestLease = std::max(mNewestLease, aContext.mPeerLease);
    bool const isLeading =
      mLease != 0 && mLease >= mNewestLease && !mOrders.empty();
    if (std::exchange(mIsLeading, isLeading) == isLeading)
      return;
    mStore.Reset();
    mPlans.clear();
    mLedger.Clear();
    mDrainedSince.clear();
    mHasRead = false;
  }

  bool MergeStates(instant aNow, std::span<rollout_notice const> aNotices)
  {
    bool hasChanged = false;
    for (rollout_notice const& notice : aNotices) {
      mNewestLease = std::max(mNewestLease, notice.mLease);
      hasChanged |= mStates.Merge(aNow, notice);
    }
    return hasChanged;
  }

  bool IsReadDue(instant aNow)
  {
    if (aNow < mNextReadAt || !mStates.IsLeaderSilent(aNow))
      return false;
    mNextReadAt = aNow + kReadInterval;
    return true;
  }

  void Read()
  {
    mStore.Read([this](std::vector<rollout_notice> const& aNotices) {
      mHasChanged |= MergeStates(mClock.Now(), aNotices);
      mHasRead = true;
      // The next leader, or the next read, must see what is stored then.
      if (!mIsLeading)
        mStore.Reset();
    });
  }

  void Step(instant aNow, rollout_context const& aContext)
  {
    if (aNow < mNextStepAt)
      return;
    mNextStepAt = aNow + kStepInterval;
    for (known_order const& known : mOrders)
      Step(aNow, aContext, known);
  }

  void Step(instant aNow,
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

  // The plan for the newest order of the pool that has a state, else for the
  // order itself.
  rollout_plan& PlanOf(instant aNow, known_order const& aKnown)
  {
    auto const found = mPlans.find(aKnown.mOrder.mPool);
    if (found != mPlans.end())
      return found->second;
    rollout_notice const* const newest = mStates.Newest(aKnown.mOrder.mPool);
    rollout_plan plan{ newest ? newest->mState.mOrder : aKnown.mOrder,
                       *mLimits,
                       newest ? newest->mState.mElapsed
                              : aNow - aKnown.mLearnedAt };
    if (newest != nullptr)
      plan.Restore(aNow, newest->mState);
    return mPlans.emplace(aKnown.mOrder.mPool, plan).first->second;
  }

  // Lets a newer order replace the one of the plan.
  void UpdateOrder(instant aNow, known_order const& aKnown, rollout_plan& aPlan)
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

  rollout_inputs MakeInputs(instant aNow,
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

  bool IsDrained(instant aNow,
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

  void Announce(instant aNow, rollout_state const& aState)
  {
    mHasChanged |= mStates.Merge(aNow, { .mLease = mLease, .mState = aState });
  }

  // Others learn of a completion once it is stored. Until then they keep to the
  // step before, from a leader that they hear.
  void AnnounceEnd(instant aNow, rollout_state const& aState)
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

  // Stores what has changed, one record at a time, then the status of it.
  void Write(instant aNow)
  {
    if (!mStore.IsRead() || !mStore.IsFree(aNow))
      return;
    if (std::optional<pool_name> const pool = mLedger.NextPool(mStates)) {
      std::vector<rollout_notice> const wanted = mLedger.Wanted(mStates, *pool);
      return mStore.Append(*pool, wanted, [this, pool = *pool, wanted]() {
        OnStored(pool, wanted);
      });
    }
    if (std::optional<rollout_state> const status = mLedger.NextStatus())
      mStore.AppendStatus(
        *status, [this, status = *status]() { mLedger.OnStatus(status); });
  }

  void OnStored(pool_name const& aPool, std::vector<rollout_notice> const& aWas)
  {
    if (!mIsLeading)
      return;
    mLedger.OnStored(aPool, aWas);
    std::optional<rollout_notice> const held = mLedger.TakeHeld(aPool, aWas);
    if (!held)
      return;
    LogRolloutEnded(held->mState);
    Announce(mClock.Now(), held->mState);
  }

  rollout_store<Dialect> mStore;
  std::optional<rollout_limits> mLimits;
  system_clock mClock;
  std::vector<known_order> mOrders;
  rollout_states mStates;
  rollout_evidence mEvidence;
  rollout_ledger mLedger;
  std::vector<rollout_drain> mOwnDrained;
  /// The newest lease that this instance has held; 0 for none.
  std::uint64_t mLease = 0;
  /// The newest lease of any instance, as reports and the store show.
  std::uint64_t mNewestLease = 0;
  bool mIsLeading = false;
  /// The store has been read since this instance leads.
  bool mHasRead = false;
  bool mHasChanged = false;
  std::map<pool_name, rollout_plan> mPlans;
  /// Orders that ask again for what is done already.
  std::map<pool_name, std::uint64_t> mRepeated;
  std::map<pool_name, instant> mDrainedSince;
  instant mNextStepAt{};
  instant mNextReadAt{};
};

}
