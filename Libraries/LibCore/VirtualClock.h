#pragma once

#include <LibCore/Instant.h>

namespace lycheeseam {

/// A clock source that only moves when told to; tests and benchmarks use it.
class virtual_clock
{
public:
  /// The instant last set; starts at the epoch.
  [[nodiscard]] instant Now() const noexcept { return mNow; }

  /// Moves the clock forward.
  void Advance(duration aSpan) noexcept { mNow += aSpan; }

  /// Moves the clock to an instant, also backwards.
  void SetNow(instant aNow) noexcept { mNow = aNow; }

private:
  instant mNow{};
};

}
