#pragma once

#include <LibCore/Instant.h>

namespace lycheeseam {

/// A clock source for tests and benchmarks, which advances only when set.
class virtual_clock
{
public:
  /// The current virtual time; starts at the epoch.
  [[nodiscard]] instant Now() const noexcept { return mNow; }

  /// Moves the clock forward.
  void Advance(duration aSpan) noexcept { mNow += aSpan; }

  /// Sets the clock to an instant, which may lie in the past.
  void SetNow(instant aNow) noexcept { mNow = aNow; }

private:
  instant mNow{};
};

}
