#pragma once

#include <LibFleet/ComposeReport.h>
#include <LibFleet/PeerRegistry.h>
#include <LibFleet/ReportTopology.h>
#include <LibPeer/FleetMessage.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace lycheeseam {

/// Keeps the position of this instance in the tree of reports, and sends
/// reports, rosters and relayed records to its peers. Runs on the control
/// thread.
class report_exchange
{
public:
  using send_handler =
    std::function<void(std::span<instance_id const>, fleet_message)>;
  /// Receives the peers to keep links to.
  using contacts_handler = std::function<void(std::span<peer_contact const>)>;
  /// Receives a peer whose link is no longer needed.
  using release_handler = std::function<void(instance_id const&)>;

  report_exchange(peer_hello aSelf,
                  peer_registry& aRegistry,
                  send_handler aSend,
                  contacts_handler aContacts,
                  release_handler aRelease);

  /// Recomputes the topology and releases unused links when that is due.
  void Tick(instant aNow);

  /// The known instances have changed: the next tick recomputes the topology.
  void OnInstancesChanged() { mNextTopologyAt = instant{}; }

  /// True when reports of this scope from a peer are used. A peer whose
  /// topology disagrees with this instance's repeats what other peers report.
  [[nodiscard]] bool IsAccepted(instance_id const& aPeer,
                                report_scope aScope) const;

  /// True when loads of servers are exchanged with a peer: it is in this
  /// instance's failure domain. If all instances knew the same loads, they
  /// would choose the same server.
  [[nodiscard]] bool SharesLoadsWith(instance_id const& aPeer) const;

  /// How old reports of other instances may be on arrival; 0 when the delay is
  /// negligible.
  [[nodiscard]] std::chrono::milliseconds ReportDelay() const;

  /// Stores an update for the next report.
  void Add(report_update aUpdate);

  /// Sends each peer a report, and its roster when that has changed. aOwn holds
  /// the state of this instance alone; its usage of the window, its parts in
  /// quarantine, its rate limits and its software go over new links only, its
  /// origins of streams once over each link.
  void Report(instant aNow,
              fleet_report const& aOwn,
              bool aIsReady,
              bool aIsLeaving);

  /// Passes on records of the store that this instance read, or that the peer
  /// aFrom passed on.
  void Relay(instant aNow,
             topic_relay const& aRelay,
             std::optional<instance_id> const& aFrom);

private:
  static constexpr std::chrono::milliseconds kTopologyInterval{ 500 };
  // A restarted parent is reachable again within this time.
  static constexpr std::chrono::milliseconds kParentTimeout{ 1'500 };
  // Reports over a link contain the usage of the quota window, the parts of
  // prompts in quarantine and the servers' rate limits for this long after the
  // link opened, so that an instance that starts learns them.
  static constexpr std::chrono::seconds kEarlierStatePeriod{ 10 };
  // The topology of the other end may lag and need the link a moment later.
  static constexpr std::chrono::seconds kUnusedLinkTimeout{ 5 };

  /// What the reports over the link that opened at mUpAt cover. The peer may
  /// have ignored those of another scope.
  struct link_use
  {
    instant mUpAt{};
    report_scope mScope = report_scope::Root;

    bool operator==(link_use const&) const = default;
  };

  /// The roster that was sent last over the link that opened at mUpAt.
  struct sent_roster
  {
    instant mUpAt{};
    fleet_roster mRoster;
  };

  void UpdateTopology(instant aNow);
  // The parent so far, unless it has a parent itself; empty for a root.
  [[nodiscard]] std::optional<instance_id> ParentToKeep() const;
  void ReleaseUnused(instant aNow);
  // The scope of the reports to send over a link; empty when none are sent.
  [[nodiscard]] std::optional<report_scope> ScopeTo(
    instant aNow,
    peer_link const& aLink) const;
  // Sends a report, without its loads to peers that don't share them.
  void Send(std::span<instance_id const> aPeers, fleet_report aReport);
  void SendRoster(instant aNow,
                  roster_entry const& aOwn,
                  report_scope aScope,
                  instance_id const& aTo);

  peer_hello mSelf;
  peer_registry& mRegistry;
  send_handler mSend;
  contacts_handler mContactsHandler;
  release_handler mReleaseHandler;
  report_topology mTopology;
  /// Since when the current parent has been the parent.
  instant mParentSince{};
  instant mNextTopologyAt{};
  std::vector<report_update> mUpdates;
  std::map<instance_id, sent_roster> mSentRosters;
  std::map<instance_id, link_use> mReported;
};

}
