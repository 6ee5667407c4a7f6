#pragma once

#include <LibCore/Instant.h>

namespace lycheeseam {

/// The clock source of a running process.
struct system_clock
{
  /// The boot clock's current reading.
  [[nodiscard]] instant Now() const noexcept { return boot_clock::now(); }
};

}
