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

/// The other instances that share limits with this one, until nothing was
/// heard of them for long.
class known_instances
{
public:
  explicit known_instances(instance_id aSelf)
    : mSelf(std::move(aSelf))
  {
  }

  /// An instance is registered in the store.
  void OnRegistered(instant aNow, peer_hello const& aHello);

  /// An instance has a link, or one with a link speaks for it: it isn't away.
  void OnHeard(instant aNow, peer_hello const& aHello);

  /// A peer speaks for it still. One that others hear of and that can't be
  /// reached from here may be so again after a while.
  void OnStillHeard(instant aNow, instance_id const& aInstance);

  /// It can't be reached, or nobody speaks for it any more.
  void OnAway(instant aNow, instance_id const& aInstance);

  /// Forgets those that nothing was heard of for long.
  void Prune(instant aNow);

  /// Those that may live.
  [[nodiscard]] std::vector<peer_hello> Present() const;

  /// How many those are.
  [[nodiscard]] std::size_t CountPresent() const;

  /// Those that are away.
  [[nodiscard]] std::vector<peer_hello> Away() const;

  [[nodiscard]] std::uint32_t Count() const;

  /// How many aren't among some.
  [[nodiscard]] std::uint32_t CountBesides(
    std::set<instance_id> const& aSome) const;

private:
  struct known_instance
  {
    peer_hello mHello;
    instant mSeenAt{};
    /// Since when it can't be reached; nothing while it can.
    std::optional<instant> mAwaySince;
  };

  instance_id mSelf;
  std::map<instance_id, known_instance> mKnown;
};

}
