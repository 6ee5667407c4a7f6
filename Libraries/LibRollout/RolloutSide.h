#pragma once

#include <cstddef>
#include <cstdint>

namespace lycheeseam {

/// The software that answered a request, as seen by a rollout.
enum class rollout_side : std::uint8_t
{
  Target,
  Others,
};

inline constexpr std::size_t kRolloutSides = 2;

}
