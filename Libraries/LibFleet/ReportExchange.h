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

/// Who of the instances reports to whom, and what this one tells each of its
/// peers. Runs on the control thread.
class report_exchange
{
public:
  using send_handler =
    std::function<void(std::span<instance_id const>, fleet_message)>;
  /// Hears whom to keep links to.
  using contacts_handler = std::function<void(std::span<peer_contact const>)>;
  /// Hears of a peer whose link has no more use.
  using release_handler = std::function<void(instance_id const&)>;

  report_exchange(peer_hello aSelf,
                  peer_book& aBook,
                  send_handler aSend,
                  contacts_handler aContacts,
                  release_handler aRelease);

  /// Lays out anew who reports to whom when it is due.
  void Tick(instant aNow);

  /// The known instances have changed: the next tick lays out.
  void OnInstances() { mNextLayout = instant{}; }

  /// True when a peer's reports are to be taken: from a peer that doesn't
  /// stand where it believes, they tell what others tell as well.
  [[nodiscard]] bool IsTaken(instance_id const& aPeer,
                             report_scope aScope) const;

  /// How old what is known of others may be; 0 when it is too young to matter.
  [[nodiscard]] std::chrono::milliseconds Delay() const;

  /// Keeps news for the next report.
  void Add(report_news aNews);

  /// Tells all peers; aOwn tells of this instance alone.
  void Report(instant aNow,
              fleet_report const& aOwn,
              bool aIsReady,
              bool aIsLeaving);

  /// Passes on records of the store, read here or told by a peer.
  void Relay(instant aNow,
             topic_relay const& aRelay,
             std::optional<instance_id> const& aFrom);

private:
  static constexpr std::chrono::milliseconds kLayoutInterval{ 500 };
  // A parent that was restarted takes this long to be back.
  static constexpr std::chrono::milliseconds kParentPatience{ 1'500 };
  // A peer that starts learns within it what was admitted lately.
  static constexpr std::chrono::seconds kUsedIsTold{ 10 };
  // The other end of an unused link may only be late to find a use for it.
  static constexpr std::chrono::seconds kUnusedLink{ 5 };

  /// What a peer was told last, over the link that began then.
  struct told_roster
  {
    instant mUpAt{};
    fleet_roster mRoster;
  };

  void LayOut(instant aNow);
  void ReleaseUnused(instant aNow);
  [[nodiscard]] std::optional<report_scope> ScopeTo(
    instant aNow,
    peer_link const& aLink) const;
  void SendRoster(instant aNow,
                  roster_entry const& aOwn,
                  report_scope aScope,
                  instance_id const& aTo);

  peer_hello mSelf;
  peer_book& mBook;
  send_handler mSend;
  contacts_handler mContactsHandler;
  release_handler mReleaseHandler;
  report_layout mLayout;
  /// Since when the parent has been this one.
  instant mParentSince{};
  instant mNextLayout{};
  std::vector<report_news> mNews;
  std::map<instance_id, told_roster> mTold;
};

}
