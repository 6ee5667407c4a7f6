#pragma once

#include <LibDispatch/FleetView.h>
#include <LibFleet/FleetMetrics.h>
#include <LibFleet/LogRollout.h>
#include <LibFleet/RolloutContext.h>
#include <LibFleet/RolloutEvidence.h>
#include <LibFleet/RolloutLeader.h>
#include <LibFleet/RolloutLedger.h>
#include <LibFleet/RolloutStates.h>
#include <LibFleet/RolloutStore.h>
#include <LibGateway/TrafficReport.h>
#include <LibRollout/RolloutLimits.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
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
  {
    if (aLimits)
      mLeader.emplace(*aLimits, mStates, mEvidence, mLedger);
  }
  rollout_driver(rollout_driver const&) = delete;
  rollout_driver& operator=(rollout_driver const&) = delete;
  ~rollout_driver() = default;

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
    if (!mLeader)
      return false;
    mOrders.assign(aContext.mOrders.begin(), aContext.mOrders.end());
    UpdateLead(aContext);
    if (!mStore.IsRead() && mStore.IsFree(aNow) &&
        (mIsLeading || IsReadDue(aNow)))
      Read();
    if (mIsLeading && mHasRead) {
      mHasChanged |= mLeader->Tick(aNow, mLease, aContext);
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
  // An instance without contact to the leader learns from the store that a
  // rollout has ended.
  static constexpr std::chrono::milliseconds kReadInterval{ 500 };

  void UpdateLead(rollout_context const& aContext)
  {
    mLease = std::max(mLease, aContext.mLease);
    mNewestLease = std::max(mNewestLease, aContext.mPeerLease);
    bool const isLeading =
      mLease != 0 && mLease >= mNewestLease && !mOrders.empty();
    if (std::exchange(mIsLeading, isLeading) == isLeading)
      return;
    mStore.Reset();
    mLeader->Clear();
    mLedger.Clear();
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
    mHasChanged |= mStates.Merge(mClock.Now(), *held);
  }

  rollout_store<Dialect> mStore;
  system_clock mClock;
  std::vector<known_order> mOrders;
  rollout_states mStates;
  rollout_evidence mEvidence;
  rollout_ledger mLedger;
  /// Empty without limits.
  std::optional<rollout_leader> mLeader;
  std::vector<rollout_drain> mOwnDrained;
  /// The newest lease that this instance has held; 0 for none.
  std::uint64_t mLease = 0;
  /// The newest lease of any instance, as reports and the store show.
  std::uint64_t mNewestLease = 0;
  bool mIsLeading = false;
  /// The store has been read since this instance leads.
  bool mHasRead = false;
  bool mHasChanged = false;
  instant mNextReadAt{};
};

}
