#pragma once

#include <LibCore/Instant.h>
#include <LibPeer/RolloutNotice.h>

#include <cstdint>
#include <map>
#include <span>
#include <vector>

namespace lycheeseam {

/// The newest known state of each order, as its leaders told or stored it.
class rollout_states
{
public:
  /// Takes a state over if it is newer, and not of a leader that has been
  /// succeeded; true when the order's step has changed.
  bool Merge(instant aNow, rollout_notice const& aNotice);

  /// The newest order of a pool; null without one.
  [[nodiscard]] rollout_notice const* Newest(pool_name const& aPool) const;

  /// The orders of a pool, oldest first.
  [[nodiscard]] std::vector<rollout_notice> OfPool(
    pool_name const& aPool) const;

  /// The orders of all pools.
  [[nodiscard]] std::vector<rollout_notice> List() const;

  [[nodiscard]] std::vector<pool_name> Pools() const;

  /// True when an order runs whose leader hasn't been heard of late.
  [[nodiscard]] bool IsLeaderSilent(instant aNow) const;

private:
  struct known_state
  {
    rollout_notice mNotice;
    instant mHeardAt{};
  };

  /// By pool and by the number of the order.
  std::map<pool_name, std::map<std::uint64_t, known_state>> mStates;
};

}
