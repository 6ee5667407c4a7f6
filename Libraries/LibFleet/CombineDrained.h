#pragma once

#include <LibPeer/RolloutDrain.h>

#include <span>
#include <vector>

namespace lycheeseam {

/// The orders that both of two groups of instances have drained, each with the
/// least revision that they follow. What a group doesn't report isn't drained.
std::vector<rollout_drain>
CombineDrained(std::span<rollout_drain const> aLeft,
               std::span<rollout_drain const> aRight);

}
