#pragma once

#include <LibCore/Instant.h>
#include <LibDispatch/ReadyInstance.h>
#include <LibDispatch/WorkspaceUsage.h>
#include <LibFleet/KnownInstances.h>
#include <LibFleet/PeerLink.h>
#include <LibFleet/PeerUsage.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace lycheeseam {

/// What is known of the other instances: those registered in the store, those
/// with a link, and those on whose behalf linked peers report.
class peer_registry
{
public:
  using links = std::map<instance_id, peer_link>;

  peer_registry(instance_id aSelf, duration aQuotaWindow)
    : mSelf(aSelf)
    , mKnown(std::move(aSelf))
    , mUsage(aQuotaWindow)
  {
  }

  /// An instance is registered in the store. The record may be older than a
  /// link, which shows the process that runs now.
  void OnRegistered(instant aNow, peer_hello const& aHello)
  {
    if (!mLinks.contains(aHello.mIdentity.mInstance))
      mKnown.OnRegistered(aNow, aHello);
  }

  void OnUp(instant aNow, peer_hello const& aHello);
  void OnDown(instant aNow, instance_identity const& aPeer);

  /// The link to a peer goes over another connection from now on.
  void OnLinkReplaced(instant aNow, instance_identity const& aPeer);

  /// Records a report; true when the lease or the set of servers being updated
  /// has changed.
  bool OnReport(instant aNow,
                instance_identity const& aPeer,
                fleet_report const& aReport);

  /// Records the roster of a peer; true when it has changed.
  bool OnRoster(instant aNow,
                instance_identity const& aPeer,
                fleet_roster const& aRoster);

  /// A parent can't be reached or is unresponsive; it counts as unreachable
  /// until it is observed again.
  void OnUnreachable(instant aNow, instance_id const& aPeer)
  {
    mKnown.OnUnreachable(aNow, aPeer);
  }

  /// Removes instances that haven't been observed for long, and after a while
  /// the roster of a former parent.
  void Prune(instant aNow);

  /// The other instances, whether or not they can be reached.
  [[nodiscard]] known_instances const& Known() const noexcept { return mKnown; }

  /// The other instances that are ready for callers and aren't leaving.
  [[nodiscard]] std::vector<ready_instance> Entries() const;

  /// The other instances in a planned stop.
  [[nodiscard]] std::vector<ready_instance> Stopping() const;

  /// The number of other instances that no live link reports, nor one that has
  /// closed since its last report, which may be open again in a moment.
  [[nodiscard]] std::uint32_t Unresponsive(instant aNow) const;

  /// What the other instances admitted, as they reported. While an instance is
  /// unresponsive it is assumed to use its whole share instead.
  [[nodiscard]] peer_usage const& Usage() const noexcept { return mUsage; }

  /// What all instances admitted in the last quota window: for each workspace
  /// the highest count of the live peers that have counted for a whole window;
  /// empty without such peers.
  [[nodiscard]] std::vector<workspace_usage> WindowUsage(instant aNow) const;

  /// The servers that the holder of the newest lease is updating.
  [[nodiscard]] std::set<backend_server_id> Updating(instant aNow) const;

  /// The orders that all instances behind live links have drained, and this
  /// instance too, whose own are aOwn.
  [[nodiscard]] std::vector<rollout_drain> Drained(
    instant aNow,
    std::vector<rollout_drain> aOwn) const;

  /// The number of the newest lease that a live peer reports; 0 for none.
  [[nodiscard]] std::uint64_t NewestLease(instant aNow) const;

  /// True when a live instance whose id sorts before this one's reads the store
  /// for the others.
  [[nodiscard]] bool HasReader(instant aNow) const;

  /// True when the store answers the reads of any live peer.
  [[nodiscard]] bool IsAnyReading(instant aNow) const;

  /// The number of live instances that aren't leaving and whose ids sort before
  /// this one's.
  [[nodiscard]] std::uint32_t Rank(instant aNow) const;

  [[nodiscard]] links const& Links() const noexcept { return mLinks; }

private:
  /// The other instances that satisfy the predicate.
  template<typename Predicate>
  [[nodiscard]] std::vector<ready_instance> Select(Predicate aPredicate) const;

  // The entries of the rosters of all live links; an instance may be in
  // several.
  [[nodiscard]] std::vector<roster_entry const*> LiveEntries(
    instant aNow) const;
  // The link to that incarnation of a peer, or null.
  [[nodiscard]] peer_link* FindLink(instance_identity const& aPeer);
  // True when the roster of any link contains the instance.
  [[nodiscard]] bool IsInRosters(instance_id const& aInstance) const;
  // Marks as unreported the instances of an earlier roster that no roster
  // contains any more.
  void MarkUnreported(instant aNow, fleet_roster const& aBefore);

  /// The instances that a closed link reported.
  struct closed_link
  {
    instant mReportedAt{};
    std::set<instance_id> mInstances;
  };

  instance_id mSelf;
  known_instances mKnown;
  links mLinks;
  /// Links that closed while they were live, as long as they would be without a
  /// report.
  std::vector<closed_link> mClosedLinks;
  peer_usage mUsage;
  /// The roster of the last parent whose link closed, and until when it is
  /// used.
  fleet_roster mFormerParentRoster;
  instant mFormerParentRosterUntil{};
};

}
