#pragma once

#include <LibCore/Published.h>
#include <LibCore/SystemClock.h>
#include <LibDispatch/FleetView.h>
#include <LibEvents/EventLog.h>
#include <LibFleet/FleetLinks.h>
#include <LibFleet/FleetMetrics.h>
#include <LibFleet/FleetOptions.h>
#include <LibFleet/FleetRecords.h>
#include <LibFleet/InstanceRegistration.h>
#include <LibFleet/OrderDriver.h>
#include <LibFleet/StoreWatch.h>
#include <LibFleet/UsageKeeper.h>
#include <LibGateway/PeerUpdate.h>
#include <LibGateway/QuerySession.h>
#include <LibGateway/SessionListener.h>
#include <LibGateway/TrafficReport.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <span>

namespace lycheeseam {

/// The control thread's state of one instance: reads the store, talks to
/// peers, gives orders, and publishes what it knows of the fleet. Made and run
/// on that thread.
template<fleet_dialect Dialect>
class fleet_control
{
public:
  /// Hears what other instances saw; called on the control thread.
  using news_handler = std::function<void(peer_update)>;

  fleet_control(boost::asio::io_context& aContext,
                fleet_options aOptions,
                published<fleet_view>& aPublished,
                news_handler aNewsHandler)
    : mOptions(std::move(aOptions))
    , mPublished(aPublished)
    , mNewsHandler(std::move(aNewsHandler))
    , mClient(aContext, mMetrics.Recorder())
    , mWatch(
        mClient,
        mOptions.mStore,
        [this](store_topic aTopic,
               std::span<keyed_record const> aNews,
               page_source aSource) { OnNews(aTopic, aNews, aSource); },
        [this](topic_relay const& aRelay) { mLinks.Relay(aRelay); },
        [this]() { mRecords.Servers().OnStoreFailure(); })
    , mRegistration(
        mClient,
        mOptions.mStore,
        mOptions.mSelf,
        [this](peer_hello const& aInstance) { mLinks.OnRegistered(aInstance); })
    , mUsage(mClient, mOptions.mStore)
    , mLinks(aContext, mOptions.mSelf, *this)
    , mOrders(
        mClient,
        mOptions.mStore,
        mOptions.mSelf.mIdentity.mInstance,
        mOptions.mLease,
        [this](observed_weights const& aSeen) { OnWeights({ aSeen }); },
        [this](server_identity const& aIdentity) {
          mRecords.OnAbsent(aIdentity);
        })
    , mTimer(aContext)
  {
    if (mOptions.mMetrics)
      mMetricsPage.emplace(aContext, mMetrics, *mOptions.mMetrics);
  }

  /// Throws error when the address for peers is taken.
  void Start()
  {
    mLinks.Start();
    if (mMetricsPage)
      mMetricsPage->Accept();
    mUsage.Read([this]() { Publish(); });
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

  /// Takes what the traffic thread saw.
  void OnReport(traffic_report aReport)
  {
    for (server_identity const& gone : aReport.mGone)
      mRecords.OnAbsent(gone);
    OnWeights(aReport.mWeights);
    mMetrics.Merge(aReport.mMetrics);
    mSpent = std::move(aReport.mSpent);
    mUsed = std::move(aReport.mUsed);
    mLinks.Add({ .mCrashes = std::move(aReport.mCrashes),
                 .mHolders = std::move(aReport.mHolders) });
    ReportToPeers();
    Publish();
  }

  // For fleet_links only.
  void ReportToPeers()
  {
    instant const now = mClock.Now();
    std::set<backend_server_id> const turning = mOrders.Turning();
    instance_id const& self = mOptions.mSelf.mIdentity.mInstance;
    mLinks.Report({ .mLease = mOrders.Lease(),
                    .mReader = mWatch.IsReading(now) ? self : instance_id{},
                    .mSpent = mSpent,
                    .mUpdating = { turning.begin(), turning.end() },
                    .mUsed = mUsed,
                    .mOperatorsEnd = mWatch.OperatorsEnd() },
                  IsReady());
  }

  void OnPeersChanged() { Publish(); }

  void OnPeerReport(fleet_report const& aReport, bool aHaveTurnsChanged)
  {
    mWatch.OnPeerEnd(mClock.Now(), aReport.mOperatorsEnd);
    if (!aReport.mCrashes.empty() || !aReport.mHolders.empty())
      mNewsHandler(
        { .mCrashes = aReport.mCrashes, .mHolders = aReport.mHolders });
    bool const areWeightsNews = TakeWeightsSeen(aReport.mWeights);
    if (aHaveTurnsChanged || areWeightsNews)
      Publish();
  }

  void OnPeerRelay(topic_relay const& aRelay) { mWatch.OnRelay(aRelay); }

private:
  static constexpr std::chrono::milliseconds kTick{ 50 };

  void Tick()
  {
    instant const now = mClock.Now();
    mRegistration.Tick(now);
    mWatch.Tick(now, mLinks.Book().HasReader(now));
    if (IsReader(now))
      mUsage.Write(now, mUsed);
    mLinks.Tick(now);
    bool const areServersGone = mRecords.Servers().Expire(now);
    std::vector<registered_server> const servers = mRecords.Servers().Servers();
    bool const haveTurnsChanged = mOrders.Tick(servers,
                                               mRecords.Operators().Weights(),
                                               mLinks.Book().Rank(now),
                                               mLinks.Book().NewestLease(now));
    if (haveTurnsChanged)
      ReportToPeers();
    if (areServersGone || haveTurnsChanged)
      Publish();
    mMetrics.Tick(now, mView, mOrders.Lease());
    mTimer.expires_after(kTick);
    mTimer.async_wait([this](boost::system::error_code aFault) {
      if (!aFault)
        Tick();
    });
  }

  // True while this instance reads the store for the others.
  [[nodiscard]] bool IsReader(instant aNow) const
  {
    return mWatch.IsReadingServers(aNow) && !mLinks.Book().HasReader(aNow);
  }

  void OnNews(store_topic aTopic,
              std::span<keyed_record const> aNews,
              page_source aSource)
  {
    mRecords.Take(mClock.Now(), aTopic, aNews, aSource);
    if (!aNews.empty())
      Publish();
  }

  // True when it is news.
  bool TakeWeightsSeen(std::vector<observed_weights> const& aSeen)
  {
    bool isNews = false;
    for (observed_weights const& seen : aSeen)
      isNews |= mRecords.Servers().OnWeights(
        seen.mServer, seen.mIncarnation, seen.mModel, seen.mVersion);
    return isNews;
  }

  void OnWeights(std::vector<observed_weights> const& aSeen)
  {
    if (!TakeWeightsSeen(aSeen))
      return;
    mLinks.Add({ .mWeights = aSeen });
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
    peer_book const& peers = mLinks.Book();
    mView.mConfig = mRecords.Operators().Config();
    mView.mWeights = mRecords.Operators().Weights();
    mView.mServers = mRecords.Servers().Servers();
    mView.mUpdating = mOrders.Turning();
    mView.mUpdating.merge(peers.Turning(now));
    mView.mReadyInstances = peers.Entries();
    if (IsReady())
      mView.mReadyInstances.push_back(
        { .mInstance = mOptions.mSelf.mIdentity.mInstance,
          .mDomain = mOptions.mSelf.mFailureDomain,
          .mAddress = mOptions.mSelf.mCallers });
    mView.mInstances = peers.Known().Count() + 1;
    mView.mUnresponsiveInstances = peers.Silent(now);
    mView.mReportDelay = mLinks.Delay();
    mView.mPeerUsage = peers.Spending().Spent();
    mView.mWindowUsage = peers.Used(now);
    if (mView.mWindowUsage.empty() && mView.mConfig)
      mView.mWindowUsage = mUsage.Stored(*mView.mConfig);
    mPublished.Publish(std::make_shared<fleet_view const>(mView));
  }

  fleet_options mOptions;
  published<fleet_view>& mPublished;
  news_handler mNewsHandler;
  system_clock mClock;
  fleet_metrics mMetrics;
  std::optional<session_listener<query_session<fleet_metrics>, fleet_metrics>>
    mMetricsPage;
  http_client mClient;
  fleet_records<Dialect> mRecords;
  store_watch<Dialect> mWatch;
  instance_registration<Dialect> mRegistration;
  usage_keeper<Dialect> mUsage;
  fleet_links<fleet_control> mLinks;
  order_driver<Dialect> mOrders;
  fleet_view mView;
  std::vector<workspace_usage> mSpent;
  std::vector<workspace_usage> mUsed;
  boost::asio::steady_timer mTimer;
  bool mIsLeaving = false;
};

}
