#pragma once

#include <cstdint>

namespace lycheeseam {

/// Why a rollout was rolled back.
enum class rollout_reason : std::uint8_t
{
  None,
  Failures,
  SlowFirstEvent,
  SlowEvents,
  TooFewServers,
  Replaced,
};

}
