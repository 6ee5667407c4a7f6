#pragma once

#include <LibCore/Published.h>
#include <LibCore/SystemClock.h>
#include <LibDispatch/FleetView.h>
#include <LibEvents/EventLog.h>
#include <LibFleet/DescribePeers.h>
#include <LibFleet/FleetLinks.h>
#include <LibFleet/FleetMetrics.h>
#include <LibFleet/FleetObservations.h>
#include <LibFleet/FleetOptions.h>
#include <LibFleet/FleetRecords.h>
#include <LibFleet/InstanceRegistration.h>
#include <LibFleet/MakeOwnUpdate.h>
#include <LibFleet/MakePeerUpdate.h>
#include <LibFleet/OrderDriver.h>
#include <LibFleet/RolloutDriver.h>
#include <LibFleet/StoreFollower.h>
#include <LibFleet/TickMonitor.h>
#include <LibFleet/UsageWriter.h>
#include <LibGateway/PeerUpdate.h>
#include <LibGateway/QuerySession.h>
#include <LibGateway/SessionListener.h>
#include <LibGateway/TrafficReport.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace lycheeseam {

/// The control state of one instance: reads the store, exchanges reports with
/// peers, gives orders to engines, and publishes a view of the fleet for the
/// traffic thread. Runs on the control thread.
template<fleet_dialect Dialect>
class fleet_control
{
public:
  /// Receives updates from other instances; called on the control thread.
  using update_handler = std::function<void(peer_update)>;

  fleet_control(boost::asio::io_context& aContext,
                fleet_options aOptions,
                published<fleet_view>& aPublished,
                update_handler aUpdateHandler)
    : mOptions(std::move(aOptions))
    , mPublished(aPublished)
    , mUpdateHandler(std::move(aUpdateHandler))
    , mClient(aContext, mMetrics.Recorder())
    , mFollower(
        mClient,
        mOptions.mStore,
        mRecords.Servers(),
        [this](store_topic aTopic,
               std::span<keyed_record const> aNewRecords,
               page_source aSource) {
          OnNewRecords(aTopic, aNewRecords, aSource);
        },
        [this](std::optional<store_era> aBefore, store_era aEra) {
          OnStoreEra(aBefore, aEra);
        },
        [this](topic_relay const& aRelay, bool aIsNew) {
          mLinks.OnRead(aRelay, aIsNew);
        })
    , mRegistration(
        mClient,
        mOptions.mStore,
        mOptions.mSelf,
        [this](peer_hello const& aInstance) { mLinks.OnRegistered(aInstance); })
    , mUsageWriter(mClient, mOptions.mStore)
    , mObservations(mClient,
                    mOptions.mStore,
                    [this](std::vector<stream_origin> aOrigins) {
                      mUpdateHandler({ .mOrigins = std::move(aOrigins) });
                    })
    , mLinks(aContext, mOptions.mSelf, mOptions.mQuotaWindow, *this)
    , mOrderDriver(
        mClient,
        mOptions.mStore,
        mOptions.mSelf.mIdentity.mInstance,
        mOptions.mLease,
        [this](observed_weights const& aObserved) {
          OnObservedWeights({ aObserved });
        },
        [this](server_identity const& aIdentity) { OnAddressTaken(aIdentity); })
    , mRollouts(mClient, mOptions.mStore, mOptions.mRollouts)
    , mTimer(aContext)
  {
    if (mOptions.mMetrics)
      mMetricsPage.emplace(aContext, mMetrics, *mOptions.mMetrics);
  }

  /// Throws error when the address for peers is in use.
  void Start()
  {
    mLinks.Start();
    if (mMetricsPage)
      mMetricsPage->Accept();
    mUsageWriter.Read([this]() { Publish(); });
    Tick();
  }

  /// Begins a planned stop.
  void Leave()
  {
    mIsLeaving = true;
    mLinks.Leave();
    Publish();
    ReportToPeers();
  }

  /// Applies a report of the traffic thread.
  void OnReport(traffic_report aReport)
  {
    for (server_identity const& server : aReport.mReplaced)
      OnAddressTaken(server);
    OnObservedWeights(aReport.mWeights);
    mMetrics.Merge(aReport.mMetrics);
    mOwnUsage = std::move(aReport.mUsage);
    mWindowUsage = std::move(aReport.mWindowUsage);
    mObservations.Add(mClock.Now(), aReport);
    mRollouts.Add(mClock.Now(), aReport);
    std::vector<observed_load> loads = mObservations.MergeLoads(aReport.mLoads);
    mLinks.Add(MakeOwnUpdate(std::move(aReport), std::move(loads)));
    ReportToPeers();
    Publish();
  }

  // Called by fleet_links.
  void ReportToPeers()
  {
    instant const now = mClock.Now();
    std::set<backend_server_id> const updating = mOrderDriver.Updating();
    instance_id const& self = mOptions.mSelf.mIdentity.mInstance;
    fleet_report own{ .mLease = mOrderDriver.Lease(),
                      .mReader =
                        mFollower.IsReading(now) ? self : instance_id{},
                      .mSpent = mOwnUsage,
                      .mUpdating = { updating.begin(), updating.end() },
                      .mUsed = mWindowUsage,
                      .mOperatorsEnd = mFollower.OperatorsEnd(),
                      .mServersEnd = mFollower.ServersEnd() };
    mObservations.AddTo(now, own);
    mRollouts.AddTo(own);
    mLinks.Report(own, IsReady());
  }

  void OnPeersChanged() { Publish(); }

  void OnPeerReport(fleet_report const& aReport,
                    std::vector<observed_load> aLoads,
                    bool aHaveUpdatesChanged)
  {
    mFollower.OnPeerEnd(mClock.Now(), aReport.mOperatorsEnd);
    peer_update update = MakePeerUpdate(aReport, std::move(aLoads));
    if (!update.IsEmpty())
      mUpdateHandler(std::move(update));
    bool const haveStepsChanged = mRollouts.Merge(mClock.Now(), aReport);
    if (mRecords.Servers().OnObservedWeights(aReport.mWeights) ||
        aHaveUpdatesChanged || haveStepsChanged)
      Publish();
  }

  fleet_observations<Dialect>& Observations() { return mObservations; }
  store_follower<Dialect> const& Follower() const { return mFollower; }

  bool OnPeerRelay(topic_relay const& aRelay)
  {
    return mFollower.OnRelay(aRelay);
  }

private:
  static constexpr std::chrono::milliseconds kTickInterval{ 50 };

  void Tick()
  {
    // Armed first, so that an error below doesn't end the ticks.
    mTimer.expires_after(kTickInterval);
    mTimer.async_wait([this](boost::system::error_code aFault) {
      if (!aFault)
        Tick();
    });
    instant const now = mClock.Now();
    mTickMonitor.OnTick(now);
    mRecords.Servers().OnRunning(now);
    mRegistration.Tick(now);
    mFollower.Tick(now, mLinks.Registry().HasReader(now));
    if (IsReader(now))
      mUsageWriter.Write(
        now, mFollower.ServersEnd().Era(), KnownWindowUsage(now));
    mObservations.Tick(now, IsReader(now));
    mLinks.Tick(now);
    // Pages are passed on only when they have records, so their absence shows
    // no outage while a peer is answered.
    if (mLinks.Registry().IsAnyReading(now))
      mRecords.Servers().OnStoreAnswer(now);
    bool const haveServersExpired = mRecords.Servers().Expire(now);
    bool const haveUpdatesChanged =
      mOrderDriver.Tick(mRecords.Servers().Servers(),
                        mRecords.Operators().Weights(),
                        mLinks.Registry().Rank(now),
                        mLinks.Registry().NewestLease(now),
                        mRollouts.IsLeaseNeeded());
    bool const hasChanged = TickRollouts(now) || haveUpdatesChanged;
    if (hasChanged)
      ReportToPeers();
    if (haveServersExpired || hasChanged)
      Publish();
    mRollouts.SetGauges(mMetrics);
    mMetrics.Tick(now, mView, mOrderDriver.Lease());
  }

  // True when a step of a rollout has changed.
  bool TickRollouts(instant aNow)
  {
    peer_registry const& peers = mLinks.Registry();
    return mRollouts.Tick(
      aNow,
      { .mOrders = mRecords.Operators().Rollouts(),
        .mServers = mRecords.Servers().Servers(),
        .mLease = mOrderDriver.Lease(),
        .mPeerLease = peers.NewestLease(aNow),
        .mDrained = peers.Drained(aNow, mRollouts.OwnDrained()) });
  }

  // True while this instance reads the store for the others.
  [[nodiscard]] bool IsReader(instant aNow) const
  {
    return mFollower.IsReadingServers(aNow) &&
           !mLinks.Registry().HasReader(aNow);
  }

  // What all instances admitted in the last quota window. One that has just
  // started knows it from peers.
  [[nodiscard]] std::vector<workspace_usage> KnownWindowUsage(
    instant aNow) const
  {
    return mWindowUsage.empty() ? mLinks.Registry().WindowUsage(aNow)
                                : mWindowUsage;
  }

  void OnStoreEra(std::optional<store_era> aBefore, store_era aEra)
  {
    mOrderDriver.OnStoreEra(aEra);
    if (!aBefore)
      return;
    LogEvent("store_restored",
             { { "era", static_cast<std::int64_t>(aEra.Value()) } });
    instant const now = mClock.Now();
    mRecords.Servers().OnStoreRestored(now);
    mRegistration.OnStoreRestored(now);
    mObservations.OnStoreRestored();
    mRollouts.OnStoreRestored();
  }

  void OnAddressTaken(server_identity const& aServer)
  {
    instant const now = mClock.Now();
    if (mRecords.OnAddressTaken(now, aServer, mFollower.ServersEnd()))
      mFollower.OnServerRemoved(now);
  }

  void OnNewRecords(store_topic aTopic,
                    std::span<keyed_record const> aNewRecords,
                    page_source aSource)
  {
    mRecords.Apply(mClock.Now(), aTopic, aNewRecords, aSource);
    if (!aNewRecords.empty())
      Publish();
  }

  void OnObservedWeights(std::vector<observed_weights> const& aObserved)
  {
    if (!mRecords.Servers().OnObservedWeights(aObserved))
      return;
    mLinks.Add({ .mWeights = aObserved });
    ReportToPeers();
    Publish();
  }

  [[nodiscard]] bool IsReady() const
  {
    return mRecords.Operators().Config() != nullptr && !mIsLeaving;
  }

  void Publish()
  {
    instant const now = mClock.Now();
    mView.mConfig = mRecords.Operators().Config();
    mView.mWeights = mRecords.Operators().Weights();
    mView.mServers = mRecords.Servers().Servers();
    mView.mUpdating = mOrderDriver.Updating();
    DescribePeers(now, mLinks.Registry(), mView);
    if (IsReady())
      mView.mReadyInstances.push_back(
        { .mInstance = mOptions.mSelf.mIdentity.mInstance,
          .mDomain = mOptions.mSelf.mFailureDomain,
          .mAddress = mOptions.mSelf.mCallers });
    mObservations.Describe(now, mFollower.IsReadingServers(now), mView);
    mRollouts.Describe(mView);
    mView.mReportDelay = mLinks.ReportDelay();
    if (mView.mConfig)
      mView.mStoredUsage = mUsageWriter.StoredUsage(*mView.mConfig);
    mPublished.Publish(std::make_shared<fleet_view const>(mView));
  }

  fleet_options mOptions;
  published<fleet_view>& mPublished;
  update_handler mUpdateHandler;
  system_clock mClock;
  fleet_metrics mMetrics;
  std::optional<session_listener<query_session<fleet_metrics>, fleet_metrics>>
    mMetricsPage;
  http_client mClient;
  fleet_records<Dialect> mRecords;
  store_follower<Dialect> mFollower;
  instance_registration<Dialect> mRegistration;
  usage_writer<Dialect> mUsageWriter;
  fleet_observations<Dialect> mObservations;
  fleet_links<fleet_control> mLinks;
  order_driver<Dialect> mOrderDriver;
  rollout_driver<Dialect> mRollouts;
  fleet_view mView;
  /// What this instance admitted since its start.
  std::vector<workspace_usage> mOwnUsage;
  /// What all instances admitted in the last quota window.
  std::vector<workspace_usage> mWindowUsage;
  boost::asio::steady_timer mTimer;
  tick_monitor mTickMonitor{ kTickInterval };
  bool mIsLeaving = false;
};

}
