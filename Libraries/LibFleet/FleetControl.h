#pragma once

#include <LibCore/Published.h>
#include <LibCore/SystemClock.h>
#include <LibDispatch/FleetView.h>
#include <LibEvents/EventLog.h>
#include <LibFleet/FleetMetrics.h>
#include <LibFleet/FleetOptions.h>
#include <LibFleet/FleetRecords.h>
#include <LibFleet/InstanceRegistration.h>
#include <LibFleet/OrderDriver.h>
#include <LibFleet/PeerBook.h>
#include <LibFleet/ReportExchange.h>
#include <LibFleet/StoreWatch.h>
#include <LibFleet/UsageKeeper.h>
#include <LibGateway/PeerNews.h>
#include <LibGateway/QuestionSession.h>
#include <LibGateway/SessionListener.h>
#include <LibGateway/TrafficReport.h>
#include <LibMembership/QuietLinkSupervisor.h>
#include <LibPeer/PeerHub.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <variant>

namespace lycheeseam {

/// The control thread's state of one instance: reads the store, talks to
/// peers, gives orders, and publishes what it knows of the fleet. Made and run
/// on that thread.
template<fleet_dialect Dialect>
class fleet_control
{
public:
  /// Hears what other instances saw; called on the control thread.
  using news_handler = std::function<void(peer_news)>;

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
        [this](topic_relay const& aRelay) {
          mExchange.Relay(mClock.Now(), aRelay, std::nullopt);
        },
        [this]() { mRecords.Servers().OnStoreFailure(); })
    , mRegistration(mClient,
                    mOptions.mStore,
                    mOptions.mSelf,
                    [this](peer_hello const& aInstance) {
                      mPeers.OnRegistered(mClock.Now(), aInstance);
                      mExchange.OnInstances();
                    })
    , mUsage(mClient, mOptions.mStore)
    , mPeers(mOptions.mSelf.mLife.mInstance)
    , mExchange(
        mOptions.mSelf,
        mPeers,
        [this](std::span<instance_id const> aPeers, fleet_message aMessage) {
          mHub.Multicast(aPeers, std::move(aMessage));
        },
        [this](std::span<peer_contact const> aContacts) {
          mHub.SetWanted(aContacts);
        },
        [this](instance_id const& aPeer) { mHub.Release(aPeer); })
    , mOrders(
        mClient,
        mOptions.mStore,
        mOptions.mSelf.mLife.mInstance,
        mOptions.mLease,
        [this](seen_weights const& aSeen) { OnWeights({ aSeen }); },
        [this](server_life const& aLife) { mRecords.OnAbsent(aLife); })
    , mHub(
        aContext,
        HubOptions(),
        mOptions.mSelf,
        *this,
        [](instant aNow) {
          return quiet_link_supervisor{ LinkOptions(), aNow };
        },
        [this]() { return peer_heartbeat{ .mIsLeaving = mIsLeaving }; },
        mClock)
    , mTimer(aContext)
  {
    if (mOptions.mMetrics)
      mMetricsPage.emplace(aContext, mMetrics, *mOptions.mMetrics);
  }

  /// Throws error when the address for peers is taken.
  void Start()
  {
    mHub.Listen(mOptions.mSelf.mPeers);
    mHub.Start();
    if (mMetricsPage)
      mMetricsPage->Accept();
    mUsage.Read([this]() { Publish(); });
    Tick();
  }

  /// Begins a planned stop.
  void Leave()
  {
    mIsLeaving = true;
    Publish();
    Report();
  }

  /// Takes what the traffic thread saw.
  void OnReport(traffic_report aReport)
  {
    for (server_life const& gone : aReport.mGone)
      mRecords.OnAbsent(gone);
    OnWeights(aReport.mWeights);
    mMetrics.Merge(aReport.mMetrics);
    mSpent = std::move(aReport.mSpent);
    mUsed = std::move(aReport.mUsed);
    mExchange.Add({ .mCrashes = std::move(aReport.mCrashes),
                    .mHolders = std::move(aReport.mHolders) });
    Report();
    Publish();
  }

  void OnPeerUp(peer_hello const& aHello)
  {
    LogEvent("peer_up", { { "peer", aHello.mLife.mInstance.Text() } });
    mPeers.OnUp(mClock.Now(), aHello);
    mExchange.OnInstances();
    Report();
  }

  void OnPeerDown(instance_life const& aPeer, link_close_reason aReason)
  {
    LogEvent("peer_down",
             { { "peer", aPeer.mInstance.Text() },
               { "reason", static_cast<std::int64_t>(aReason) } });
    mPeers.OnDown(mClock.Now(), aPeer);
    mExchange.OnInstances();
    Publish();
  }

  void OnPeerMessage(instance_life const& aPeer, peer_message& aMessage)
  {
    fleet_message* const message = std::get_if<fleet_message>(&aMessage);
    if (message == nullptr)
      return;
    if (fleet_report* const report = std::get_if<fleet_report>(message))
      return OnPeerReport(aPeer, *report);
    if (fleet_roster* const roster = std::get_if<fleet_roster>(message))
      return OnPeerRoster(aPeer, *roster);
    topic_relay const& relay = std::get<topic_relay>(*message);
    mExchange.Relay(mClock.Now(), relay, aPeer.mInstance);
    mWatch.OnRelay(relay);
  }

private:
  static constexpr std::chrono::milliseconds kTick{ 50 };
  static peer_hub_options HubOptions()
  {
    constexpr std::size_t kMostQueued = 4U << 20U;
    // A peer that was restarted is back within a second or two.
    return { .mMaxFrameBytes = kMostQueued,
             .mMaxQueueBytes = kMostQueued,
             .mHelloTimeout = std::chrono::milliseconds{ 700 },
             .mDial = { .mMaxBackoff = std::chrono::milliseconds{ 800 } } };
  }

  // Reports are the signs of life; a link without any is pinged.
  static quiet_link_options LinkOptions()
  {
    return { .mBeatInterval = {},
             .mQuietInterval = std::chrono::milliseconds{ 500 },
             .mPingInterval = std::chrono::milliseconds{ 200 },
             .mPingLimit = 3 };
  }

  void Tick()
  {
    instant const now = mClock.Now();
    mRegistration.Tick(now);
    mWatch.Tick(now, mPeers.HasReader(now));
    if (IsReader(now))
      mUsage.Write(now, mUsed);
    mPeers.Prune(now);
    mExchange.Tick(now);
    bool const areServersGone = mRecords.Servers().Expire(now);
    std::vector<listed_server> const servers = mRecords.Servers().Servers();
    bool const haveTurnsChanged = mOrders.Tick(servers,
                                               mRecords.Operators().Weights(),
                                               mPeers.Rank(now),
                                               mPeers.NewestLease(now));
    if (haveTurnsChanged)
      Report();
    if (areServersGone || haveTurnsChanged)
      Publish();
    mMetrics.Tick(now, mView, mOrders.Lease());
    mTimer.expires_after(kTick);
    mTimer.async_wait([this](auto aFault) {
      if (!aFault)
        Tick();
    });
  }

  // True while this instance reads the store for the others.
  [[nodiscard]] bool IsReader(instant aNow) const
  {
    return mWatch.IsReadingServers(aNow) && !mPeers.HasReader(aNow);
  }

  void OnPeerReport(instance_life const& aPeer, fleet_report const& aReport)
  {
    if (!mExchange.IsTaken(aPeer.mInstance, aReport.mScope))
      return;
    mWatch.OnPeerEnd(mClock.Now(), aReport.mOperatorsEnd);
    bool isNews = mPeers.OnReport(mClock.Now(), aPeer, aReport);
    mExchange.Add({ .mFrom = aPeer.mInstance,
                    .mIsOfBranch = aReport.mScope == report_scope::Branch,
                    .mCrashes = aReport.mCrashes,
                    .mWeights = aReport.mWeights,
                    .mHolders = aReport.mHolders });
    if (!aReport.mCrashes.empty() || !aReport.mHolders.empty())
      mNewsHandler(
        { .mCrashes = aReport.mCrashes, .mHolders = aReport.mHolders });
    isNews |= TakeWeightsSeen(aReport.mWeights);
    if (isNews)
      Publish();
  }

  void OnPeerRoster(instance_life const& aPeer, fleet_roster const& aRoster)
  {
    if (!mPeers.OnRoster(mClock.Now(), aPeer, aRoster))
      return;
    mExchange.OnInstances();
    Publish();
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
  bool TakeWeightsSeen(std::vector<seen_weights> const& aSeen)
  {
    bool isNews = false;
    for (seen_weights const& seen : aSeen)
      isNews |= mRecords.Servers().OnWeights(
        seen.mServer, seen.mLife, seen.mModel, seen.mVersion);
    return isNews;
  }

  void OnWeights(std::vector<seen_weights> const& aSeen)
  {
    if (!TakeWeightsSeen(aSeen))
      return;
    mExchange.Add({ .mWeights = aSeen });
    Report();
    Publish();
  }

  void Report()
  {
    instant const now = mClock.Now();
    std::set<backend_server_id> const turning = mOrders.Turning();
    bool const isReady =
      mRecords.Operators().Config() != nullptr && !mIsLeaving;
    instance_id const& self = mOptions.mSelf.mLife.mInstance;
    mExchange.Report(now,
                     { .mLease = mOrders.Lease(),
                       .mReader = mWatch.IsReading(now) ? self : instance_id{},
                       .mSpent = mSpent,
                       .mTurning = { turning.begin(), turning.end() },
                       .mUsed = mUsed,
                       .mOperatorsEnd = mWatch.OperatorsEnd() },
                     isReady,
                     mIsLeaving);
  }

  void Publish()
  {
    instant const now = mClock.Now();
    mView.mConfig = mRecords.Operators().Config();
    mView.mWeights = mRecords.Operators().Weights();
    mView.mServers = mRecords.Servers().Servers();
    mView.mTurning = mOrders.Turning();
    mView.mTurning.merge(mPeers.Turning(now));
    mView.mEntries = mPeers.Entries();
    if (mView.mConfig && !mIsLeaving)
      mView.mEntries.push_back({ .mInstance = mOptions.mSelf.mLife.mInstance,
                                 .mDomain = mOptions.mSelf.mFailureDomain,
                                 .mAddress = mOptions.mSelf.mCallers });
    mView.mInstances = mPeers.Known().Count() + 1;
    mView.mSilentInstances = mPeers.Silent(now);
    mView.mReportDelay = mExchange.Delay();
    mView.mSpentElsewhere = mPeers.Spending().Spent();
    mView.mUsedElsewhere = mPeers.Used(now);
    if (mView.mUsedElsewhere.empty() && mView.mConfig)
      mView.mUsedElsewhere = mUsage.Stored(*mView.mConfig);
    mPublished.Publish(std::make_shared<fleet_view const>(mView));
  }

  fleet_options mOptions;
  published<fleet_view>& mPublished;
  news_handler mNewsHandler;
  system_clock mClock;
  fleet_metrics mMetrics;
  std::optional<
    session_listener<question_session<fleet_metrics>, fleet_metrics>>
    mMetricsPage;
  http_client mClient;
  fleet_records<Dialect> mRecords;
  store_watch<Dialect> mWatch;
  instance_registration<Dialect> mRegistration;
  usage_keeper<Dialect> mUsage;
  peer_book mPeers;
  report_exchange mExchange;
  order_driver<Dialect> mOrders;
  peer_hub<fleet_control, quiet_link_supervisor, system_clock> mHub;
  fleet_view mView;
  std::vector<spent_units> mSpent;
  std::vector<spent_units> mUsed;
  boost::asio::steady_timer mTimer;
  bool mIsLeaving = false;
};

}
