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

/// Takes and keeps the lease on orders while this instance is the one to hold
/// it, and gives the orders that bring engines to new weights.
template<fleet_dialect Dialect>
class order_driver
{
public:
  using weights_handler = std::function<void(observed_weights)>;
  using gone_handler = std::function<void(server_identity)>;

  order_driver(http_client& aClient,
               endpoint aStore,
               instance_id aSelf,
               duration aTerm,
               weights_handler aHandler,
               gone_handler aGoneHandler)
    : mClient(aClient)
    , mCalls(aClient, std::move(aStore))
    , mSelf(aSelf)
    , mLease(std::move(aSelf), aTerm)
    , mPlan({})
    , mHandler(std::move(aHandler))
    , mGoneHandler(std::move(aGoneHandler))
  {
  }

  /// Does what is due. aRank is this instance's place among those that could
  /// hold the lease, 0 for the first; aPeerLease the newest lease of a live
  /// peer. True when the set of turning servers changed.
  bool Tick(std::span<registered_server const> aServers,
            std::span<target_weights const> aWeights,
            std::uint32_t aRank,
            std::uint64_t aPeerLease)
  {
    instant const now = mClock.Now();
    bool const hadTurns = !mPlan.IsIdle();
    if (mVacantSince == instant{})
      mVacantSince = now + kStartPause;
    if (aPeerLease > mLease.Held()) {
      mLease.OnPeerLease(now, aPeerLease);
      mPlan.Clear();
      mVacantSince = now;
      return hadTurns;
    }
    if (!mLease.IsHeld()) {
      mPlan.Clear();
      if (now - mVacantSince > kVacancy + aRank * kRankDelay)
        Acquire();
      return hadTurns;
    }
    std::set<backend_server_id> const before = mPlan.Turning();
    mPlan.Update(now, aServers, aWeights);
    if (!mPlan.IsIdle())
      Drive(now, aServers);
    return mPlan.Turning() != before;
  }

  [[nodiscard]] std::set<backend_server_id> Turning() const
  {
    return mPlan.Turning();
  }

  [[nodiscard]] std::uint64_t Lease() const { return mLease.Held(); }

private:
  // The last holder's link is known to be down by then.
  static constexpr std::chrono::milliseconds kVacancy{ 600 };
  static constexpr std::chrono::milliseconds kRankDelay{ 400 };
  // A starting instance first hears who holds the lease.
  static constexpr std::chrono::milliseconds kStartPause{ 900 };
  static constexpr std::chrono::milliseconds kEngineTimeout{ 800 };

  void Drive(instant aNow, std::span<registered_server const> aServers)
  {
    if (mLease.IsRenewalDue(aNow))
      Acquire();
    for (backend_server_id const& id : mPlan.DueOrders(aNow)) {
      std::optional<std::uint64_t> const fence = mLease.MayOrder(aNow);
      registered_server const* const server = FindServer(aServers, id);
      if (fence && server != nullptr)
        Order(aNow, *server, *fence);
    }
    for (backend_server_id const& id : mPlan.DueQuestions(aNow)) {
      if (registered_server const* const server = FindServer(aServers, id))
        Ask(aNow, *server);
    }
  }

  void Acquire()
  {
    if (std::exchange(mIsStoreBusy, true))
      return;
    if (mLease.AppendAt())
      return Append();
    mCalls.ReadNewest(store_topic::Leases,
                      [this](std::optional<topic_page> const& aPage) {
                        mIsStoreBusy = false;
                        if (aPage)
                          OnNewest(*aPage);
                      });
  }

  void OnNewest(topic_page const& aPage)
  {
    std::optional<lease_record> newest;
    for (keyed_record const& record : aPage.mRecords) {
      if (record.mValue)
        newest = { .mOffset = record.mOffset,
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
      mLease.AppendAt(),
      { .mKey = "orders", .mValue = mSelf.Text() },
      [this](store_append_result aResult, http_exchange_result const& aAnswer) {
        mIsStoreBusy = false;
        LogEvent("lease_appended",
                 { { "status", std::int64_t{ aAnswer.mHead.mStatus } },
                   { "offset", static_cast<std::int64_t>(aResult.mOffset) },
                   { "fault", aAnswer.mFault } });
        if (aResult.mStatus == store_append_status::Done)
          mLease.OnAppended(aResult.mOffset);
        else if (aResult.mStatus != store_append_status::Refused)
          OnLeaseLost();
      });
  }

  void OnLeaseLost()
  {
    mLease.OnUncertain();
    mVacantSince = mClock.Now();
  }

  void Order(instant aNow,
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
          mGoneHandler({ .mServer = id, .mIncarnation = current });
        if (answer == order_answer::Fenced)
          mLease.OnUncertain();
      });
  }

  void Ask(instant aNow, registered_server const& aServer)
  {
    mPlan.OnAsked(aNow, aServer.mId);
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
  turnover_plan mPlan;
  weights_handler mHandler;
  gone_handler mGoneHandler;
  system_clock mClock;
  instant mVacantSince{};
  bool mIsStoreBusy = false;
};

}
