#pragma once

#include <LibCore/Published.h>
#include <LibCore/SystemClock.h>
#include <LibDispatch/FleetView.h>
#include <LibEvents/EventLog.h>
#include <LibFleet/FleetOptions.h>
#include <LibFleet/OperatorState.h>
#include <LibFleet/OrderDriver.h>
#include <LibFleet/PeerBook.h>
#include <LibFleet/ServerRegister.h>
#include <LibFleet/StoreDuty.h>
#include <LibFleet/TopicReader.h>
#include <LibFleet/UsageKeeper.h>
#include <LibGateway/PeerNews.h>
#include <LibGateway/TrafficReport.h>
#include <LibMembership/QuietLinkSupervisor.h>
#include <LibPeer/PeerHub.h>
#include <LibStore/TopicState.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <set>
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
    , mClient(aContext)
    , mOperators(MakeReader(store_topic::Operators))
    , mServers(MakeReader(store_topic::Servers))
    , mInstances(MakeReader(store_topic::Instances))
    , mUsage(mClient, mOptions.mStore)
    , mPeers(mOptions.mSelf.mLife.mInstance)
    , mOrders(
        mClient,
        mOptions.mStore,
        mOptions.mSelf.mLife.mInstance,
        mOptions.mLease,
        [this](seen_weights const& aSeen) { OnWeights({ aSeen }); },
        [this](server_life const& aLife) { OnGone({ aLife }); })
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
  }

  /// Throws error when the address for peers is taken.
  void Start()
  {
    mHub.Listen(mOptions.mSelf.mPeers);
    mHub.Start();
    Register();
    mUsage.Read([this]() { Publish(); });
    Tick();
  }

  /// Begins a planned stop.
  void Leave()
  {
    mIsLeaving = true;
    Publish();
    Report({});
  }

  /// Takes what the traffic thread saw.
  void OnReport(traffic_report aReport)
  {
    OnGone(aReport.mGone);
    OnWeights(aReport.mWeights);
    mSpent = std::move(aReport.mSpent);
    mUsed = std::move(aReport.mUsed);
    Report({ .mCrashes = std::move(aReport.mCrashes),
             .mHolders = std::move(aReport.mHolders) });
    Publish();
  }

  void OnPeerUp(peer_hello const& aHello)
  {
    LogEvent("peer_up", { { "peer", aHello.mLife.mInstance.Text() } });
    mPeers.OnUp(mClock.Now(), aHello);
    mHub.SetWanted(mPeers.Contacts());
    Report({});
  }

  void OnPeerDown(instance_life const& aPeer, link_close_reason aReason)
  {
    LogEvent("peer_down",
             { { "peer", aPeer.mInstance.Text() },
               { "reason", static_cast<std::int64_t>(aReason) } });
    mPeers.OnDown(mClock.Now(), aPeer);
    Publish();
  }

  void OnPeerMessage(instance_life const& aPeer, peer_message& aMessage)
  {
    fleet_message* const message = std::get_if<fleet_message>(&aMessage);
    if (message == nullptr)
      return;
    if (fleet_report* const report = std::get_if<fleet_report>(message))
      return OnPeerReport(aPeer, *report);
    OnRelay(std::get<topic_relay>(*message));
  }

private:
  using reader = topic_reader<Dialect>;

  static constexpr std::chrono::milliseconds kTick{ 50 };
  // Instances register once; the topic is read again only to find those that
  // couldn't be reached at first.
  static constexpr std::chrono::seconds kInstancesInterval{ 20 };
  static constexpr std::chrono::milliseconds kRegisterPause{ 700 };
  static constexpr std::chrono::milliseconds kRefreshInterval{ 3'000 };
  static constexpr std::chrono::milliseconds kStoreTimeout{ 1'200 };

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

  reader MakeReader(store_topic aTopic)
  {
    return reader{ mClient,
                   mOptions.mStore,
                   aTopic,
                   [this, aTopic](std::uint64_t aFrom,
                                  topic_page const& aPage,
                                  bool aIsWhole) {
                     OnPage(aTopic, aFrom, aPage, aIsWhole);
                   } };
  }

  void Register()
  {
    keyed_record const record{ .mKey = mOptions.mSelf.mLife.mInstance.Text(),
                               .mValue =
                                 Dialect::FormatInstance(mOptions.mSelf) };
    mClient.Call(
      { .mTo = mOptions.mStore,
        .mHead = Dialect::AppendRequest(store_topic::Instances, std::nullopt),
        .mBody = Dialect::FormatRecord(record),
        .mTimeout = kStoreTimeout },
      [this](http_exchange_result const& aResult) {
        mIsRegistered =
          Dialect::ReadAppend(aResult).mStatus == store_append_status::Done;
        mInstancesDue = mClock.Now();
        if (!mIsRegistered)
          mRegisterDue = mClock.Now() + kRegisterPause;
      });
  }

  void Tick()
  {
    instant const now = mClock.Now();
    if (!mIsRegistered && mRegisterDue && now >= *mRegisterDue) {
      mRegisterDue.reset();
      Register();
    }
    ReadStore(now);
    RefreshTopics(now);
    if (IsReader(now))
      mUsage.Write(now, mUsed);
    mPeers.Prune(now);
    bool const areServersGone = mRegister.Expire(now);
    std::vector<listed_server> const servers = mRegister.Servers();
    bool const haveTurnsChanged = mOrders.Tick(servers,
                                               mOperatorWords.Weights(),
                                               mPeers.Rank(now),
                                               mPeers.NewestLease(now));
    if (haveTurnsChanged)
      Report({});
    if (areServersGone || haveTurnsChanged)
      Publish();
    mTimer.expires_after(kTick);
    mTimer.async_wait([this](auto aFault) {
      if (!aFault)
        Tick();
    });
  }

  // True while this instance reads the store for the others.
  [[nodiscard]] bool IsReader(instant aNow) const
  {
    return mServersDuty.IsReading(aNow) && !mPeers.HasReader(aNow);
  }

  void ReadStore(instant aNow)
  {
    bool const hasReader = mPeers.HasReader(aNow);
    if (mServersDuty.IsDue(aNow, hasReader))
      Read(mServers, mServersDuty);
    if (mOperatorsDuty.IsDue(aNow, hasReader))
      Read(mOperators, mOperatorsDuty);
    if (aNow >= mInstancesDue && !mInstances.IsReading()) {
      mInstancesDue = aNow + kInstancesInterval;
      mInstances.Read([](store_read_status) {});
    }
  }

  // Reads of the store may lag behind it while its history is dropped, so what
  // they miss is made up for by reading all keys anew at times.
  void RefreshTopics(instant aNow)
  {
    if (aNow < mRefreshDue)
      return;
    mRefreshDue = aNow + kRefreshInterval;
    mServers.Refresh();
    mOperators.Refresh();
  }

  void NoteStore(bool aAnswers)
  {
    if (std::exchange(mIsStoreAnswering, aAnswers) != aAnswers)
      LogEvent(aAnswers ? "store_back" : "store_lost", {});
  }

  void Read(reader& aReader, store_duty& aDuty)
  {
    if (aReader.IsReading())
      return;
    aDuty.OnStart(mClock.Now());
    aReader.Read([this, &aReader, &aDuty](store_read_status aStatus) {
      NoteStore(aStatus != store_read_status::Failed);
      aDuty.OnRead(mClock.Now(), aStatus != store_read_status::Failed);
      if (aStatus == store_read_status::Expired)
        aDuty.ReadSoon();
      if (aStatus == store_read_status::Failed && &aReader == &mServers)
        mRegister.OnStoreFailure();
    });
  }

  void OnPage(store_topic aTopic,
              std::uint64_t aFrom,
              topic_page const& aPage,
              bool aIsWhole)
  {
    if (!aPage.mRecords.empty() && !mIsTakingRelay)
      mHub.Broadcast(
        fleet_message{ topic_relay{ .mTopic = aTopic,
                                    .mIsWhole = aIsWhole,
                                    .mFrom = aFrom,
                                    .mEnd = aPage.mEnd,
                                    .mRecords = aPage.mRecords } });
    if (aTopic == store_topic::Operators)
      OnOperators(mOperatorState.Take(aPage, aIsWhole));
    if (aTopic == store_topic::Servers)
      OnServers(mServerState.Take(aPage, aIsWhole));
    if (aTopic == store_topic::Instances)
      OnInstances(aPage);
  }

  void OnRelay(topic_relay const& aRelay)
  {
    mIsTakingRelay = true;
    topic_page const page{ .mRecords = aRelay.mRecords, .mEnd = aRelay.mEnd };
    if (aRelay.mTopic == store_topic::Operators)
      TakeRelay(aRelay, page, mOperators, mOperatorsDuty);
    if (aRelay.mTopic == store_topic::Servers)
      TakeRelay(aRelay, page, mServers, mServersDuty);
    mIsTakingRelay = false;
  }

  void TakeRelay(topic_relay const& aRelay,
                 topic_page const& aPage,
                 reader& aReader,
                 store_duty& aDuty)
  {
    if (aRelay.mIsWhole)
      aReader.TakeWhole(aPage);
    else if (!aReader.Take(aRelay.mFrom, aPage))
      aDuty.ReadSoon();
  }

  void OnPeerReport(instance_life const& aPeer, fleet_report const& aReport)
  {
    instant const now = mClock.Now();
    std::set<backend_server_id> const turning = mPeers.Turning(now);
    std::vector<caller_entry> const entries = mPeers.Entries();
    mPeers.OnReport(now, aPeer, aReport);
    if (!aReport.mCrashes.empty() || !aReport.mHolders.empty())
      mNewsHandler(
        { .mCrashes = aReport.mCrashes, .mHolders = aReport.mHolders });
    bool const isNews = TakeWeightsSeen(aReport.mWeights);
    if (isNews || mPeers.Turning(now) != turning || mPeers.Entries() != entries)
      Publish();
  }

  // True when it is news.
  bool TakeWeightsSeen(std::vector<seen_weights> const& aSeen)
  {
    bool isNews = false;
    for (seen_weights const& seen : aSeen)
      isNews |= mRegister.OnWeights(
        seen.mServer, seen.mLife, seen.mModel, seen.mVersion);
    return isNews;
  }

  void OnWeights(std::vector<seen_weights> const& aSeen)
  {
    if (!TakeWeightsSeen(aSeen))
      return;
    mSeen.insert(mSeen.end(), aSeen.begin(), aSeen.end());
    Report({});
    Publish();
  }

  void OnGone(std::vector<server_life> const& aGone)
  {
    for (server_life const& gone : aGone) {
      if (mRegister.OnAbsent(gone))
        LogEvent("server_absent",
                 { { "server", gone.mServer.Text() },
                   { "reason", std::string{ "another has its address" } } });
    }
  }

  void Report(peer_news const& aNews)
  {
    instant const now = mClock.Now();
    std::set<backend_server_id> const turning = mOrders.Turning();
    mHub.Broadcast(fleet_message{ fleet_report{
      .mIsLeaving = mIsLeaving,
      .mIsReady = mOperatorWords.Config() != nullptr && !mIsLeaving,
      .mLease = mOrders.Lease(),
      .mReadsStore =
        mServersDuty.IsReading(now) && mOperatorsDuty.IsReading(now),
      .mSpent = mSpent,
      .mCrashes = aNews.mCrashes,
      .mWeights = std::exchange(mSeen, {}),
      .mTurning = { turning.begin(), turning.end() },
      .mHolders = aNews.mHolders,
      .mUsed = mUsed } });
  }

  void OnInstances(topic_page const& aPage)
  {
    for (keyed_record const& record : aPage.mRecords) {
      if (!record.mValue)
        continue;
      try {
        mPeers.OnRegistered(mClock.Now(),
                            Dialect::ReadInstance(record.mKey, *record.mValue));
      } catch (invalid_input const&) {
        continue;
      }
    }
    mHub.SetWanted(mPeers.Contacts());
  }

  void OnServers(std::vector<keyed_record> const& aNews)
  {
    instant const now = mClock.Now();
    // Also by a peer's word: what the store says counts, whoever reads it.
    mRegister.OnStoreAnswer(now);
    for (keyed_record const& record : aNews) {
      if (record.mValue)
        TakeServer(record);
      else
        OnServerDropped(now, record);
    }
    if (!aNews.empty())
      Publish();
  }

  void OnServerDropped(instant aNow, keyed_record const& aRecord)
  {
    mRegister.OnDropped(aNow, backend_server_id{ aRecord.mKey });
    LogServer(aRecord, "dropped");
  }

  void LogServer(keyed_record const& aRecord, std::string_view aState) const
  {
    LogEvent(
      "server",
      { { "server", aRecord.mKey },
        { "state", std::string{ aState } },
        { "offset", static_cast<std::int64_t>(aRecord.mOffset) },
        { "told_by", std::string{ mIsTakingRelay ? "peer" : "store" } } });
  }

  void TakeServer(keyed_record const& aRecord)
  {
    try {
      listed_server const server =
        Dialect::ReadServer(aRecord.mKey, *aRecord.mValue);
      if (mRegister.OnEntry(server))
        LogServer(aRecord,
                  server.mStage == server_stage::Ready ? "ready" : "leaving");
    } catch (invalid_input const& fault) {
      // Another writer's entry names no server to use.
      LogEvent("entry_ignored",
               { { "server", aRecord.mKey },
                 { "fault", std::string{ fault.what() } } });
    }
  }

  void OnOperators(std::vector<keyed_record> const& aNews)
  {
    for (keyed_record const& record : aNews) {
      if (record.mValue)
        TakeOperatorRecord(record);
    }
    if (!aNews.empty())
      Publish();
  }

  void TakeOperatorRecord(keyed_record const& aRecord)
  {
    operator_record read;
    try {
      read = Dialect::ReadOperatorRecord(aRecord.mKey, *aRecord.mValue);
    } catch (invalid_input const& fault) {
      LogEvent(
        "operator_record_ignored",
        { { "key", aRecord.mKey }, { "fault", std::string{ fault.what() } } });
      return;
    }
    if (auto const* const config =
          std::get_if<std::shared_ptr<dispatch_config const>>(&read))
      TakeConfig(*config);
    if (auto const* const named = std::get_if<loaded_model>(&read))
      TakeWeights(*named);
  }

  void TakeConfig(std::shared_ptr<dispatch_config const> const& aConfig)
  {
    if (mOperatorWords.Take(aConfig))
      LogEvent(
        "config_in_force",
        { { "version", static_cast<std::int64_t>(aConfig->Version()) } });
  }

  void TakeWeights(loaded_model const& aNamed)
  {
    if (mOperatorWords.Take(mClock.Now(), aNamed))
      LogEvent("weights_named",
               { { "model", aNamed.mModel.Text() },
                 { "version", static_cast<std::int64_t>(aNamed.mVersion) } });
  }

  void Publish()
  {
    instant const now = mClock.Now();
    mView.mConfig = mOperatorWords.Config();
    mView.mWeights = mOperatorWords.Weights();
    mView.mServers = mRegister.Servers();
    mView.mTurning = mOrders.Turning();
    mView.mTurning.merge(mPeers.Turning(now));
    mView.mEntries = mPeers.Entries();
    if (mView.mConfig && !mIsLeaving)
      mView.mEntries.push_back({ .mInstance = mOptions.mSelf.mLife.mInstance,
                                 .mDomain = mOptions.mSelf.mFailureDomain,
                                 .mAddress = mOptions.mSelf.mCallers });
    mView.mInstances = mPeers.Count() + 1;
    mView.mSilentInstances = mPeers.Silent(now);
    mView.mSpentElsewhere = mPeers.Spent();
    mView.mUsedElsewhere = mPeers.Used(now);
    if (mView.mUsedElsewhere.empty() && mView.mConfig)
      mView.mUsedElsewhere = mUsage.Stored(*mView.mConfig);
    mPublished.Publish(std::make_shared<fleet_view const>(mView));
  }

  fleet_options mOptions;
  published<fleet_view>& mPublished;
  news_handler mNewsHandler;
  system_clock mClock;
  http_client mClient;
  reader mOperators;
  reader mServers;
  reader mInstances;
  store_duty mOperatorsDuty;
  store_duty mServersDuty;
  operator_state mOperatorWords;
  usage_keeper<Dialect> mUsage;
  topic_state mOperatorState;
  topic_state mServerState;
  server_register mRegister;
  peer_book mPeers;
  order_driver<Dialect> mOrders;
  peer_hub<fleet_control, quiet_link_supervisor, system_clock> mHub;
  fleet_view mView;
  std::vector<spent_units> mSpent;
  std::vector<spent_units> mUsed;
  /// Seen weights that peers haven't been told of.
  std::vector<seen_weights> mSeen;
  boost::asio::steady_timer mTimer;
  instant mRefreshDue{};
  instant mInstancesDue{ instant::max() };
  std::optional<instant> mRegisterDue;
  bool mIsRegistered = false;
  bool mIsStoreAnswering = true;
  bool mIsTakingRelay = false;
  bool mIsLeaving = false;
};

}
