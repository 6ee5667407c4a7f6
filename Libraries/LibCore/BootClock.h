#pragma once

#include <chrono>

namespace lycheeseam {

/// A steady clock that also advances while the machine is suspended
/// (CLOCK_BOOTTIME), so that a lease never looks younger than it is.
struct boot_clock
{
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<boot_clock>;
  static constexpr bool is_steady = true;

  /// The current time; its epoch is the start of the machine.
  static time_point now() noexcept;
};

}
