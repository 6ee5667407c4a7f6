#pragma once

#include <LibCore/SystemClock.h>
#include <LibEvents/EventLog.h>
#include <LibFleet/LaggingPeers.h>
#include <LibFleet/PeerRegistry.h>
#include <LibFleet/PeerTrafficMonitor.h>
#include <LibFleet/RelayFilter.h>
#include <LibFleet/RelayTargets.h>
#include <LibFleet/ReportExchange.h>
#include <LibMembership/QuietLinkSupervisor.h>
#include <LibPeer/PeerHub.h>

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <map>
#include <optional>
#include <span>
#include <utility>
#include <variant>
#include <vector>

namespace lycheeseam {

/// Connects an instance with its peers: sends and receives reports, rosters and
/// relayed records over their links. Runs on the control thread.
///
/// Control provides ReportToPeers(), called when a link has opened;
/// OnPeersChanged(); OnPeerReport(fleet_report const&,
/// std::vector<observed_load>, bool), with the reported loads that are new, and
/// whether the peer's lease or the servers that it is updating have changed;
/// Observations(), a fleet_observations; Follower(), a store_follower; and
/// OnPeerRelay(topic_relay const&), which returns whether the records are new,
/// or can't be told to be known.
template<typename Control>
class fleet_links
{
public:
  fleet_links(boost::asio::io_context& aContext,
              peer_hello aSelf,
              duration aQuotaWindow,
              Control& aControl)
    : mSelf(std::move(aSelf))
    , mControl(aControl)
    , mRegistry(mSelf.mIdentity.mInstance, aQuotaWindow)
    , mExchange(
        mSelf,
        mRegistry,
        [this](std::span<instance_id const> aPeers, fleet_message aMessage) {
          mHub.Multicast(aPeers, std::move(aMessage));
        },
        [this](std::span<peer_contact const> aContacts) {
          mHub.SetPeers(aContacts);
        },
        [this](instance_id const& aPeer) { mHub.Release(aPeer); })
    , mHub(
        aContext,
        HubOptions(),
        mSelf,
        *this,
        [](instant aNow) {
          return quiet_link_supervisor{ LinkOptions(), aNow };
        },
        [this]() { return peer_heartbeat{ .mIsLeaving = mIsLeaving }; },
        mClock)
  {
  }

  /// Throws error when the address for peers is in use.
  void Start()
  {
    mHub.Listen(mSelf.mPeers);
    mHub.Start();
  }

  /// A planned stop has begun.
  void Leave() { mIsLeaving = true; }

  void Tick(instant aNow)
  {
    mRegistry.Prune(aNow);
    mExchange.Tick(aNow);
    mTrafficMonitor.OnTick(aNow, mHub.Counters());
  }

  /// An instance is registered in the store.
  void OnRegistered(peer_hello const& aInstance)
  {
    mRegistry.OnRegistered(mClock.Now(), aInstance);
    mExchange.OnInstancesChanged();
  }

  /// Stores an update for the next report.
  void Add(report_update aUpdate) { mExchange.Add(std::move(aUpdate)); }

  /// Reports to all peers; aOwn holds the state of this instance alone.
  void Report(fleet_report const& aOwn, bool aIsReady)
  {
    mExchange.Report(mClock.Now(), aOwn, aIsReady, mIsLeaving);
  }

  /// This instance read records of the store; aIsNew is true when any of them
  /// was newer than what it knew.
  void OnRead(topic_relay const& aRelay, bool aIsNew)
  {
    instant const now = mClock.Now();
    if (mRelayFilter.PassesOnRead(now, aRelay, aIsNew))
      mExchange.Relay(now, aRelay, std::nullopt);
  }

  /// What is known of the other instances.
  [[nodiscard]] peer_registry const& Registry() const noexcept
  {
    return mRegistry;
  }

  /// How old reports of other instances may be on arrival; 0 when the delay is
  /// negligible.
  [[nodiscard]] std::chrono::milliseconds ReportDelay() const
  {
    return mExchange.ReportDelay();
  }

  // Called by peer_hub.
  void OnPeerUp(peer_hello const& aHello)
  {
    LogEvent("peer_up", { { "peer", aHello.mIdentity.mInstance.Text() } });
    mRegistry.OnUp(mClock.Now(), aHello);
    mExchange.OnInstancesChanged();
    mControl.ReportToPeers();
  }

  void OnLinkReplaced(peer_hello const& aHello)
  {
    LogEvent("peer_link_replaced",
             { { "peer", aHello.mIdentity.mInstance.Text() } });
    mRegistry.OnLinkReplaced(mClock.Now(), aHello.mIdentity);
    mControl.ReportToPeers();
  }

  void OnPeerDown(instance_identity const& aPeer, link_close_reason aReason)
  {
    LogEvent("peer_down",
             { { "peer", aPeer.mInstance.Text() },
               { "reason", static_cast<std::int64_t>(aReason) } });
    mRegistry.OnDown(mClock.Now(), aPeer);
    mExchange.OnInstancesChanged();
    mControl.OnPeersChanged();
  }

  void OnHelloRefused(peer_hello const& aHello, link_close_reason aReason)
  {
    // Of two links of one incarnation one is refused whenever both ends dial.
    if (aReason == link_close_reason::Duplicate)
      return;
    LogEvent(
      "peer_refused",
      { { "peer", aHello.mIdentity.mInstance.Text() },
        { "incarnation",
          static_cast<std::int64_t>(aHello.mIdentity.mIncarnation.Value()) },
        { "reason", static_cast<std::int64_t>(aReason) } });
  }

  void OnPeerMessage(instance_identity const& aPeer, peer_message& aMessage)
  {
    fleet_message* const message = std::get_if<fleet_message>(&aMessage);
    if (message == nullptr)
      return;
    if (fleet_report* const report = std::get_if<fleet_report>(message))
      return OnReport(aPeer, *report);
    if (fleet_roster* const roster = std::get_if<fleet_roster>(message))
      return OnRoster(aPeer, *roster);
    topic_relay const& relay = std::get<topic_relay>(*message);
    instant const now = mClock.Now();
    if (mRelayFilter.PassesOnRelayed(now, relay, mControl.OnPeerRelay(relay)))
      mExchange.Relay(now, relay, aPeer.mInstance);
  }

private:
  static peer_hub_options HubOptions()
  {
    constexpr std::size_t kMaxQueuedBytes = 4U << 20U;
    // A restarted peer is reachable again within a second or two.
    return { .mMaxFrameBytes = kMaxQueuedBytes,
             .mMaxQueueBytes = kMaxQueuedBytes,
             .mHelloTimeout = std::chrono::milliseconds{ 700 },
             .mDial = { .mMaxBackoff = std::chrono::milliseconds{ 800 } } };
  }

  // Reports serve as heartbeats; a link without any is pinged.
  static quiet_link_options LinkOptions()
  {
    return { .mHeartbeatInterval = {},
             .mQuietInterval = std::chrono::milliseconds{ 500 },
             .mPingInterval = std::chrono::milliseconds{ 200 },
             .mPingLimit = 3 };
  }

  void OnReport(instance_identity const& aPeer, fleet_report const& aReport)
  {
    if (!mExchange.IsAccepted(aPeer.mInstance, aReport.mScope))
      return;
    bool const haveUpdatesChanged =
      mRegistry.OnReport(mClock.Now(), aPeer, aReport);
    instant const now = mClock.Now();
    std::vector<observed_load> loads;
    if (mExchange.SharesLoadsWith(aPeer.mInstance))
      loads = mControl.Observations().MergeLoads(now, aReport);
    mExchange.Add(
      { .mFrom = aPeer.mInstance,
        .mIsOfBranch = aReport.mScope == report_scope::Branch,
        .mCrashes = aReport.mCrashes,
        .mPartCrashes = mControl.Observations().MergePartCrashes(now, aReport),
        .mWeights = aReport.mWeights,
        .mLimits = mControl.Observations().MergeLimits(now, aReport),
        .mHolders = aReport.mHolders,
        .mOrigins = mControl.Observations().MergeSoftware(now, aReport),
        .mLoads = loads,
        .mRolloutSamples = aReport.mRolloutSamples });
    mControl.OnPeerReport(aReport, std::move(loads), haveUpdatesChanged);
    SendLacking(aPeer.mInstance, store_topic::Operators, aReport);
    // Older builds don't report the end of the servers' topic.
    if (aReport.mSpreadsRelays)
      SendLacking(aPeer.mInstance, store_topic::Servers, aReport);
  }

  // Sends a peer the records that it has lacked for too long.
  void SendLacking(instance_id const& aPeer,
                   store_topic aTopic,
                   fleet_report const& aReport)
  {
    bool const areServers = aTopic == store_topic::Servers;
    store_position const peerEnd =
      areServers ? aReport.mServersEnd : aReport.mOperatorsEnd;
    store_position const ownEnd = areServers
                                    ? mControl.Follower().ServersEnd()
                                    : mControl.Follower().OperatorsEnd();
    instant const now = mClock.Now();
    if (!mLaggingPeers[aTopic].IsSnapshotDue(now, aPeer, peerEnd, ownEnd))
      return;
    // One of the roots sends servers, one of the peer's own domain if possible.
    if (areServers &&
        !relay_targets{ mSelf, mRegistry.Links() }.IsSource(now, aPeer))
      return;
    std::vector<topic_relay> relays =
      mControl.Follower().RelaysFor(aTopic, peerEnd, aReport.mSpreadsRelays);
    LogLag(aPeer, peerEnd, relays);
    for (topic_relay& relay : relays)
      mHub.Send(aPeer, std::move(relay));
  }

  static void LogLag(instance_id const& aPeer,
                     store_position aPeerEnd,
                     std::span<topic_relay const> aRelays)
  {
    std::size_t records = 0;
    for (topic_relay const& relay : aRelays)
      records += relay.mRecords.size();
    topic_relay const& last = aRelays.back();
    LogEvent("peer_lags",
             { { "peer", aPeer.Text() },
               { "topic", static_cast<std::int64_t>(last.mTopic) },
               { "from", static_cast<std::int64_t>(aPeerEnd.Number()) },
               { "to", static_cast<std::int64_t>(last.mEnd.Number()) },
               { "snapshot", std::int64_t{ last.mIsSnapshot } },
               { "records", static_cast<std::int64_t>(records) } });
  }

  void OnRoster(instance_identity const& aPeer, fleet_roster const& aRoster)
  {
    if (!mRegistry.OnRoster(mClock.Now(), aPeer, aRoster))
      return;
    mExchange.OnInstancesChanged();
    mControl.OnPeersChanged();
  }

  peer_hello mSelf;
  Control& mControl;
  system_clock mClock;
  peer_registry mRegistry;
  report_exchange mExchange;
  peer_hub<fleet_links, quiet_link_supervisor, system_clock> mHub;
  relay_filter mRelayFilter;
  std::map<store_topic, lagging_peers> mLaggingPeers;
  peer_traffic_monitor mTrafficMonitor;
  bool mIsLeaving = false;
};

}
