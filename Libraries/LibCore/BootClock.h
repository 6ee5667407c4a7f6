#pragma once

#include <chrono>

namespace lycheeseam {

/// A steady clock that also advances while the machine is suspended
/// (CLOCK_BOOTTIME), so that a lease's age includes the time of a suspension.
struct boot_clock
{
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<boot_clock>;
  static constexpr bool is_steady = true;

  /// Returns the time since the machine booted.
  static time_point now() noexcept;
};

}
