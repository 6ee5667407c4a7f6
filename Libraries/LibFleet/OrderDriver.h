#pragma once

#include <LibCore/InvalidInput.h>
#include <LibCore/ServerIdentity.h>
#include <LibCore/SystemClock.h>
#include <LibDispatch/FindServer.h>
#include <LibDispatch/ObservedWeights.h>
#include <LibEvents/EventLog.h>
#include <LibFleet/EngineReport.h>
#include <LibFleet/OrderLease.h>
#include <LibFleet/RollingUpdatePlan.h>
#include <LibFleet/StoreCalls.h>
#include <LibFleet/WeightsOrder.h>
#include <LibHttp/HttpStatus.h>

#include <functional>
#include <span>
#include <utility>
#include <vector>

namespace lycheeseam {

/// Acquires and renews the lease on orders when this instance is to hold it,
/// and sends the orders that update engines to the target weights while it
/// does. Runs on the control thread.
template<fleet_dialect Dialect>
class order_driver
{
public:
  /// Receives the weights that an engine reports.
  using weights_handler = std::function<void(observed_weights)>;
  /// Receives a server at whose address another one answered.
  using address_taken_handler = std::function<void(server_identity)>;

  order_driver(http_client& aClient,
               endpoint aStore,
               instance_id aSelf,
               duration aTerm,
               weights_handler aHandler,
               address_taken_handler aAddressTakenHandler)
    : mClient(aClient)
    , mCalls(aClient, std::move(aStore))
    , mSelf(aSelf)
    , mLease(std::move(aSelf), aTerm)
    , mPlan({})
    , mHandler(std::move(aHandler))
    , mAddressTakenHandler(std::move(aAddressTakenHandler))
  {
  }

  // FIXME: A holder that is cut off from all engines keeps the lease; orders
  // and calls for state don't go through peers.
  /// Does what is due. aRank is this instance's rank among those that could
  /// hold the lease, 0 for the first; aPeerLease is the newest lease of a live
  /// peer, 0 for none. With aIsLeaseNeeded it renews the lease also while no
  /// engine is updated. Returns true when the set of servers being updated has
  /// changed.
  bool Tick(std::span<registered_server const> aServers,
            std::span<target_weights const> aWeights,
            std::uint32_t aRank,
            std::uint64_t aPeerLease,
            bool aIsLeaseNeeded)
  {
    instant const now = mClock.Now();
    bool const hadUpdates = !mPlan.IsIdle();
    if (mVacantSince == instant{})
      mVacantSince = now + kStartDelay;
    if (aPeerLease > mLease.HeldNumber()) {
      mLease.OnPeerLease(now, aPeerLease);
      mPlan.Clear();
      mVacantSince = now;
      return hadUpdates;
    }
    if (!mLease.IsHeld()) {
      mPlan.Clear();
      if (now - mVacantSince > kVacancyDelay + aRank * kRankDelay)
        Acquire();
      return hadUpdates;
    }
    if (mLease.IsLost(now)) {
      LogEvent(
        "lease_lost",
        { { "number", static_cast<std::int64_t>(mLease.HeldNumber()) } });
      mLease.Invalidate();
      mPlan.Clear();
      mVacantSince = now + kRefusedDelay;
      return hadUpdates;
    }
    std::set<backend_server_id> const before = mPlan.Updating();
    mPlan.Update(now, aServers, aWeights);
    if ((aIsLeaseNeeded || !mPlan.IsIdle()) && mLease.IsRenewalDue(now))
      Acquire();
    if (!mPlan.IsIdle())
      SendDue(now, aServers);
    return mPlan.Updating() != before;
  }

  /// The store is in that era.
  void OnStoreEra(store_era aEra) { mLease.OnStoreEra(mClock.Now(), aEra); }

  [[nodiscard]] std::set<backend_server_id> Updating() const
  {
    return mPlan.Updating();
  }

  [[nodiscard]] std::uint64_t Lease() const { return mLease.HeldNumber(); }

private:
  // From mVacantSince to acquiring the lease; by then the link of a failed
  // holder is known to be down.
  static constexpr std::chrono::milliseconds kVacancyDelay{ 600 };
  // Each instance waits this much longer than the one ranked before it.
  static constexpr std::chrono::milliseconds kRankDelay{ 400 };
  // A starting instance learns from its peers within this time who holds the
  // lease.
  static constexpr std::chrono::milliseconds kStartDelay{ 900 };
  static constexpr std::chrono::milliseconds kEngineTimeout{ 800 };
  // A holder that the store refused leaves the lease to others for this long.
  static constexpr std::chrono::seconds kRefusedDelay{ 2 };
  // From a call that the store refused to the next one.
  static constexpr std::chrono::milliseconds kRetryDelay{ 300 };

  void SendDue(instant aNow, std::span<registered_server const> aServers)
  {
    for (backend_server_id const& id : mPlan.DueOrders(aNow)) {
      std::optional<std::uint64_t> const fence = mLease.FencingNumber(aNow);
      registered_server const* const server = FindServer(aServers, id);
      if (fence && server != nullptr)
        SendOrder(aNow, *server, *fence);
    }
    for (backend_server_id const& id : mPlan.DueStateRequests(aNow)) {
      if (registered_server const* const server = FindServer(aServers, id))
        RequestState(aNow, *server);
    }
  }

  void Acquire()
  {
    instant const now = mClock.Now();
    if (now < mNextCallAt || mLease.IsLeftToOther(now) ||
        std::exchange(mIsStoreBusy, true))
      return;
    if (mLease.AppendPosition())
      return Append();
    mCalls.ReadNewest(store_topic::Leases,
                      [this](std::optional<topic_page> const& aPage) {
                        mIsStoreBusy = false;
                        if (aPage)
                          return OnNewest(*aPage);
                        mNextCallAt = mClock.Now() + kRetryDelay;
                      });
  }

  void OnNewest(topic_page const& aPage)
  {
    std::optional<lease_record> newest;
    for (keyed_record const& record : aPage.mRecords) {
      if (record.mValue)
        newest = { .mNumber = record.mPosition.Number(),
                   .mHolder = instance_id{ *record.mValue } };
    }
    mLease.OnRead(mClock.Now(), newest, aPage.mEnd);
    Acquire();
  }

  void Append()
  {
    mLease.OnSend(mClock.Now());
    mCalls.Append(
      store_topic::Leases,
      mLease.AppendPosition()->Offset(),
      { .mKey = "orders", .mValue = mSelf.Text() },
      [this](store_append_result aResult, http_exchange_result const& aAnswer) {
        mIsStoreBusy = false;
        LogEvent(
          "lease_appended",
          { { "status", std::int64_t{ aAnswer.mHead.mStatus } },
            { "number", static_cast<std::int64_t>(aResult.mPosition.Number()) },
            { "fault", aAnswer.mFault } });
        OnAppendResult(aResult);
      });
  }

  void OnAppendResult(store_append_result const& aResult)
  {
    if (aResult.mStatus == store_append_status::Done)
      return mLease.OnAppended(aResult.mPosition);
    instant const now = mClock.Now();
    if (aResult.mStatus == store_append_status::Refused) {
      mLease.OnRefused(now);
      mNextCallAt = now + kRetryDelay;
      return;
    }
    if (aResult.mStatus == store_append_status::Conflict)
      mLease.OnConflict();
    else
      mLease.Invalidate();
    mVacantSince = now;
  }

  void SendOrder(instant aNow,
                 registered_server const& aServer,
                 std::uint64_t aFence)
  {
    loaded_model const target = mPlan.TargetOf(aServer.mId);
    weights_order const order{ .mServer = aServer.mId,
                               .mAddress = aServer.mAddress,
                               .mModel = target.mModel,
                               .mVersion = target.mVersion,
                               .mHolder = mSelf,
                               .mFence = aFence,
                               .mExpectedOrders = mPlan.OrdersOf(aServer.mId) };
    mPlan.OnOrdered(aNow, aServer.mId);
    mClient.Call(
      { .mPurpose = "engine_order",
        .mTo = aServer.mAddress,
        .mHead = Dialect::OrderRequest(order),
        .mBody = Dialect::FormatOrder(order),
        .mTimeout = kEngineTimeout },
      [this, id = aServer.mId, current = aServer.mIncarnation](
        http_exchange_result const& aResult) {
        order_answer const answer = Dialect::ReadOrderAnswer(aResult);
        LogEvent("order_answered",
                 { { "server", id.Text() },
                   { "status", std::int64_t{ aResult.mHead.mStatus } },
                   { "body", aResult.mBody },
                   { "fault", aResult.mFault } });
        mPlan.OnAnswer(mClock.Now(), id, answer);
        if (answer == order_answer::Misdirected)
          mAddressTakenHandler({ .mServer = id, .mIncarnation = current });
        if (answer == order_answer::Fenced)
          mLease.Invalidate();
      });
  }

  void RequestState(instant aNow, registered_server const& aServer)
  {
    mPlan.OnStateRequested(aNow, aServer.mId);
    mClient.Call({ .mPurpose = "engine_report",
                   .mTo = aServer.mAddress,
                   .mHead = Dialect::ReportRequest(aServer.mId),
                   .mTimeout = kEngineTimeout },
                 [this, id = aServer.mId, current = aServer.mIncarnation](
                   http_exchange_result const& aResult) {
                   if (aResult.mHead.mStatus != kHttpOk)
                     return;
                   try {
                     engine_report const report =
                       Dialect::ReadReport(aResult.mBody);
                     mPlan.OnReport(mClock.Now(), id, report);
                     for (loaded_model const& model : report.mModels)
                       mHandler({ .mServer = id,
                                  .mIncarnation = current,
                                  .mModel = model.mModel,
                                  .mVersion = model.mVersion });
                   } catch (invalid_input const& fault) {
                     LogEvent("engine_report_ignored",
                              { { "server", id.Text() },
                                { "fault", std::string{ fault.what() } } });
                   }
                 });
  }

  http_client& mClient;
  store_calls<Dialect> mCalls;
  instance_id mSelf;
  order_lease mLease;
  rolling_update_plan mPlan;
  weights_handler mHandler;
  address_taken_handler mAddressTakenHandler;
  system_clock mClock;
  /// When a live peer was last known to hold a newer lease, or an append of
  /// this instance conflicted or got no answer; until then, kStartDelay after
  /// the start.
  instant mVacantSince{};
  bool mIsStoreBusy = false;
  /// The store is not called before this time.
  instant mNextCallAt{};
};

}
