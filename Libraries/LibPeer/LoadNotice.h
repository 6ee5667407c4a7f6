#pragma once

#include <chrono>
#include <cstdint>

namespace lycheeseam {

/// A backend server's load as instances of a failure domain report it to each
/// other. It has an age instead of a time, since their clocks differ.
struct load_notice
{
  /// Hash of the server's id, as tracked_server::mSeed.
  std::uint64_t mServer = 0;
  std::uint16_t mRunning = 0;
  std::uint16_t mWaiting = 0;
  /// 100 is usual; never 0.
  std::uint16_t mSlowdownPercent = 100;
  /// How long before the report the server stated it, in milliseconds.
  std::uint16_t mAgeMs = 0;

  bool operator==(load_notice const&) const = default;
};

}
