#pragma once

#include <LibCore/Instant.h>

#include <cstdint>

namespace lycheeseam {

/// The load that a backend server told with an answer.
struct reported_load
{
  std::uint32_t mRunning = 0;
  std::uint32_t mWaiting = 0;
  std::uint32_t mSlots = 0;
  /// When the answer came.
  instant mToldAt{};
};

}
