#pragma once

#include <LibCore/SystemClock.h>
#include <LibEvents/EventLog.h>
#include <LibFleet/PeerBook.h>
#include <LibFleet/ReportExchange.h>
#include <LibMembership/QuietLinkSupervisor.h>
#include <LibPeer/PeerHub.h>

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <optional>
#include <span>
#include <utility>
#include <variant>

namespace lycheeseam {

/// The links of one instance to its peers: what they told, and who is told
/// what. Runs on the control thread.
///
/// Control has ReportToPeers(), called when a link is new, OnPeersChanged(),
/// OnPeerReport(fleet_report const&, bool) with whether other servers turn,
/// and OnPeerRelay(topic_relay const&).
template<typename Control>
class fleet_links
{
public:
  fleet_links(boost::asio::io_context& aContext,
              peer_hello aSelf,
              Control& aControl)
    : mSelf(std::move(aSelf))
    , mControl(aControl)
    , mBook(mSelf.mIdentity.mInstance)
    , mExchange(
        mSelf,
        mBook,
        [this](std::span<instance_id const> aPeers, fleet_message aMessage) {
          mHub.Multicast(aPeers, std::move(aMessage));
        },
        [this](std::span<peer_contact const> aContacts) {
          mHub.SetWanted(aContacts);
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

  /// Throws error when the address for peers is taken.
  void Start()
  {
    mHub.Listen(mSelf.mPeers);
    mHub.Start();
  }

  /// A planned stop has begun.
  void Leave() { mIsLeaving = true; }

  void Tick(instant aNow)
  {
    mBook.Prune(aNow);
    mExchange.Tick(aNow);
  }

  /// An instance is registered in the store.
  void OnRegistered(peer_hello const& aInstance)
  {
    mBook.OnRegistered(mClock.Now(), aInstance);
    mExchange.OnInstances();
  }

  /// Keeps news for the next report.
  void Add(report_news aNews) { mExchange.Add(std::move(aNews)); }

  /// Tells all peers; aOwn tells of this instance alone.
  void Report(fleet_report const& aOwn, bool aIsReady)
  {
    mExchange.Report(mClock.Now(), aOwn, aIsReady, mIsLeaving);
  }

  /// Passes on records of the store that were read here.
  void Relay(topic_relay const& aRelay)
  {
    mExchange.Relay(mClock.Now(), aRelay, std::nullopt);
  }

  /// What the peers told.
  [[nodiscard]] peer_book const& Book() const noexcept { return mBook; }

  /// How old what they told may be; 0 when it is too young to matter.
  [[nodiscard]] std::chrono::milliseconds Delay() const
  {
    return mExchange.Delay();
  }

  // For peer_hub only.
  void OnPeerUp(peer_hello const& aHello)
  {
    LogEvent("peer_up", { { "peer", aHello.mIdentity.mInstance.Text() } });
    mBook.OnUp(mClock.Now(), aHello);
    mExchange.OnInstances();
    mControl.ReportToPeers();
  }

  void OnPeerDown(instance_identity const& aPeer, link_close_reason aReason)
  {
    LogEvent("peer_down",
             { { "peer", aPeer.mInstance.Text() },
               { "reason", static_cast<std::int64_t>(aReason) } });
    mBook.OnDown(mClock.Now(), aPeer);
    mExchange.OnInstances();
    mControl.OnPeersChanged();
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
    mExchange.Relay(mClock.Now(), relay, aPeer.mInstance);
    mControl.OnPeerRelay(relay);
  }

private:
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
    return { .mHeartbeatInterval = {},
             .mQuietInterval = std::chrono::milliseconds{ 500 },
             .mPingInterval = std::chrono::milliseconds{ 200 },
             .mPingLimit = 3 };
  }

  void OnReport(instance_identity const& aPeer, fleet_report const& aReport)
  {
    if (!mExchange.IsTaken(aPeer.mInstance, aReport.mScope))
      return;
    bool const haveTurnsChanged = mBook.OnReport(mClock.Now(), aPeer, aReport);
    mExchange.Add({ .mFrom = aPeer.mInstance,
                    .mIsOfBranch = aReport.mScope == report_scope::Branch,
                    .mCrashes = aReport.mCrashes,
                    .mWeights = aReport.mWeights,
                    .mHolders = aReport.mHolders });
    mControl.OnPeerReport(aReport, haveTurnsChanged);
  }

  void OnRoster(instance_identity const& aPeer, fleet_roster const& aRoster)
  {
    if (!mBook.OnRoster(mClock.Now(), aPeer, aRoster))
      return;
    mExchange.OnInstances();
    mControl.OnPeersChanged();
  }

  peer_hello mSelf;
  Control& mControl;
  system_clock mClock;
  peer_book mBook;
  report_exchange mExchange;
  peer_hub<fleet_links, quiet_link_supervisor, system_clock> mHub;
  bool mIsLeaving = false;
};

}
