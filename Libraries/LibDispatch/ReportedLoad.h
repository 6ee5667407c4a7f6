#pragma once

#include <LibCore/Instant.h>

#include <cstdint>

namespace lycheeseam {

/// The load that a backend server reported with an answer.
struct reported_load
{
  std::uint32_t mRunning = 0;
  std::uint32_t mWaiting = 0;
  std::uint32_t mSlots = 0;
  /// When the answer arrived.
  instant mReportedAt{};
};

}
