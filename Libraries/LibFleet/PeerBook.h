#pragma once

#include <LibCore/Instant.h>
#include <LibDispatch/ReadyInstance.h>
#include <LibDispatch/WorkspaceUsage.h>
#include <LibFleet/KnownInstances.h>
#include <LibFleet/PeerLink.h>
#include <LibFleet/SpendingTally.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace lycheeseam {

/// The other instances: those registered in the store, those with a link, and
/// those that linked ones speak for.
class peer_book
{
public:
  using links = std::map<instance_id, peer_link>;

  explicit peer_book(instance_id aSelf)
    : mSelf(aSelf)
    , mKnown(std::move(aSelf))
  {
  }

  /// An instance is registered in the store.
  void OnRegistered(instant aNow, peer_hello const& aHello)
  {
    mKnown.OnRegistered(aNow, aHello);
  }

  void OnUp(instant aNow, peer_hello const& aHello);
  void OnDown(instant aNow, instance_identity const& aPeer);

  /// Takes a report; true when it changes which servers turn.
  bool OnReport(instant aNow,
                instance_identity const& aPeer,
                fleet_report const& aReport);

  /// Takes who lives behind a link; true when it is news.
  bool OnRoster(instant aNow,
                instance_identity const& aPeer,
                fleet_roster const& aRoster);

  /// A parent can't be reached or says nothing; it counts as away until
  /// something is heard of it.
  void OnUnreachable(instant aNow, instance_id const& aPeer)
  {
    mKnown.OnAway(aNow, aPeer);
  }

  /// Forgets instances that have been away for long, and after a while what a
  /// lost parent told.
  void Prune(instant aNow);

  /// The other instances, whether or not they can be reached.
  [[nodiscard]] known_instances const& Known() const noexcept { return mKnown; }

  /// The others that take callers and aren't leaving.
  [[nodiscard]] std::vector<ready_instance> Entries() const;

  /// How many of the others nobody has heard of lately.
  [[nodiscard]] std::uint32_t Silent(instant aNow) const;

  /// What the others admitted, so far as this instance heard of it while they
  /// weren't silent; a silent instance's share is taken as spent instead.
  [[nodiscard]] spending_tally const& Spending() const noexcept
  {
    return mTally;
  }

  /// What all instances admitted in the last quota window, as told by a peer
  /// that has counted for so long; empty without one.
  [[nodiscard]] std::vector<workspace_usage> Used(instant aNow) const;

  /// The servers that the holder of the newest lease turns.
  [[nodiscard]] std::set<backend_server_id> Turning(instant aNow) const;

  /// The newest lease that a live peer gives orders under; 0 for none.
  [[nodiscard]] std::uint64_t NewestLease(instant aNow) const;

  /// True when a live instance with a name before this one's reads the store
  /// for others.
  [[nodiscard]] bool HasReader(instant aNow) const;

  /// How many live instances that aren't leaving have names before this one's.
  [[nodiscard]] std::uint32_t Rank(instant aNow) const;

  [[nodiscard]] links const& Links() const noexcept { return mLinks; }

private:
  // The instances that live links speak for; one may stand behind several.
  [[nodiscard]] std::vector<roster_entry const*> LiveEntries(
    instant aNow) const;
  // The link to that life of a peer, or null.
  [[nodiscard]] peer_link* FindLink(instance_identity const& aPeer);
  // True when a peer with a link speaks for the instance.
  [[nodiscard]] bool IsInRosters(instance_id const& aInstance) const;
  // Instances that no peer speaks for any more can't be reached.
  void NoteVanished(instant aNow, fleet_roster const& aBefore);

  instance_id mSelf;
  known_instances mKnown;
  links mLinks;
  spending_tally mTally;
  /// What the parent told that was lost last, and until when it is used.
  fleet_roster mLostRoster;
  instant mLostUntil{};
};

}
