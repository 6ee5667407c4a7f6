#pragma once

#include <LibCore/Instant.h>

namespace lycheeseam {

/// The clock source of production code.
struct system_clock
{
  /// The current time on the boot clock.
  [[nodiscard]] instant Now() const noexcept { return boot_clock::now(); }
};

}
