#pragma once

#include <LibCore/Instant.h>

#include <cstdint>

namespace lycheeseam {

/// The load that a backend server reported with an answer.
struct reported_load
{
  /// Requests of all instances that run on the server.
  std::uint32_t mRunning = 0;
  /// Requests of all instances that wait on the server.
  std::uint32_t mWaiting = 0;
  /// Requests that the server runs concurrently.
  std::uint32_t mSlots = 0;
  /// When the answer arrived.
  instant mReportedAt{};
};

}
