#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Instant.h>
#include <LibPeer/PeerHello.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace lycheeseam {

/// The other instances that share limits with this one. An instance that hasn't
/// been observed for the retention time is removed.
class known_instances
{
public:
  explicit known_instances(instance_id aSelf)
    : mSelf(std::move(aSelf))
  {
  }

  /// An instance without a link is registered in the store; a record of another
  /// incarnation than the known one shows that it has restarted.
  void OnRegistered(instant aNow, peer_hello const& aHello);

  /// An instance has a link, or a linked peer reports it: it is reachable.
  void OnObserved(instant aNow, peer_hello const& aHello);

  /// A linked peer still reports the instance. One that is unreachable from
  /// here counts as reachable again after a while.
  void OnStillReported(instant aNow, instance_id const& aInstance);

  /// The instance can't be reached.
  void OnUnreachable(instant aNow, instance_id const& aInstance);

  /// No linked peer reports the instance any more. It counts as unreachable
  /// unless it is observed again soon.
  void OnUnreported(instant aNow, instance_id const& aInstance);

  /// Removes instances that haven't been observed for the retention time, and
  /// takes those that haven't been reported for long as unreachable.
  void Prune(instant aNow);

  /// The instances that aren't known to be unreachable.
  [[nodiscard]] std::vector<peer_hello> Reachable() const;

  /// The number of reachable instances.
  [[nodiscard]] std::size_t CountReachable() const;

  /// The instances that are unreachable but not removed yet.
  [[nodiscard]] std::vector<peer_hello> Unreachable() const;

  [[nodiscard]] std::uint32_t Count() const;

  /// The number of known instances that aren't in aExcluded.
  [[nodiscard]] std::uint32_t CountExcluding(
    std::set<instance_id> const& aExcluded) const;

private:
  struct known_instance
  {
    peer_hello mHello;
    instant mObservedAt{};
    /// Since when the instance is unreachable; empty while it is reachable.
    std::optional<instant> mUnreachableSince;
    /// Since when no linked peer reports it; empty while one does.
    std::optional<instant> mUnreportedSince;
  };

  instance_id mSelf;
  std::map<instance_id, known_instance> mKnown;
};

}
