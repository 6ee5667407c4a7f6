#pragma once

#include <LibCore/Instant.h>

#include <cstdint>
#include <optional>

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
  /// How long work takes on the server now, relative to its usual time: 1 is
  /// usual, 2 takes twice as long. Empty when the server doesn't say.
  std::optional<double> mSlowdown;
  /// When the answer arrived.
  instant mReportedAt{};

  bool operator==(reported_load const&) const = default;
};

}
