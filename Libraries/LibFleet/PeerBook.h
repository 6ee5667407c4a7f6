#pragma once

#include <LibCore/Instant.h>
#include <LibDispatch/CallerEntry.h>
#include <LibDispatch/SpentUnits.h>
#include <LibPeer/FleetReport.h>
#include <LibPeer/PeerContact.h>
#include <LibPeer/PeerHello.h>

#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace lycheeseam {

/// The other instances: those registered in the store, those with a link, and
/// what they reported last.
class peer_book
{
public:
  explicit peer_book(instance_id aSelf)
    : mSelf(std::move(aSelf))
  {
  }

  /// An instance is registered in the store.
  void OnRegistered(instant aNow, peer_hello const& aHello);

  void OnUp(instant aNow, peer_hello const& aHello);
  void OnDown(instant aNow, instance_life const& aPeer);
  void OnReport(instant aNow,
                instance_life const& aPeer,
                fleet_report const& aReport);

  /// Forgets instances that have been away for long.
  void Prune(instant aNow);

  /// Addresses to keep links to.
  [[nodiscard]] std::vector<peer_contact> Contacts() const;

  /// The others that take callers and aren't leaving.
  [[nodiscard]] std::vector<caller_entry> Entries() const;

  /// How many others share limits with this instance.
  [[nodiscard]] std::uint32_t Count() const;

  /// How many of them haven't reported lately.
  [[nodiscard]] std::uint32_t Silent(instant aNow) const;

  /// What the others admitted, so far as this instance heard of it while they
  /// weren't silent; a silent instance's share is taken as spent instead.
  [[nodiscard]] std::vector<spent_units> Spent() const;

  /// What all instances admitted in the last quota window, as told by a peer
  /// that has counted for so long; empty without one.
  [[nodiscard]] std::vector<spent_units> Used(instant aNow) const;

  /// The servers that the holder of the newest lease turns.
  [[nodiscard]] std::set<backend_server_id> Turning(instant aNow) const;

  /// The newest lease that a live peer gives orders under; 0 for none.
  [[nodiscard]] std::uint64_t NewestLease(instant aNow) const;

  /// True when a live peer with a name before this instance's reads the store
  /// for others.
  [[nodiscard]] bool HasReader(instant aNow) const;

  /// How many live peers have names before this instance's.
  [[nodiscard]] std::uint32_t Rank(instant aNow) const;

private:
  struct peer
  {
    peer_hello mHello;
    bool mIsUp = false;
    instant mSeenAt{};
    std::optional<instant> mReportedAt;
    fleet_report mReport;
    /// Of the life that reports now.
    std::map<workspace_id, double> mSpent;
  };

  [[nodiscard]] bool IsLive(instant aNow, peer const& aPeer) const;

  instance_id mSelf;
  std::map<instance_id, peer> mPeers;
  std::map<workspace_id, double> mSpent;
};

}
