#pragma once

#include <LibCore/Instant.h>

#include <cstdint>

namespace lycheeseam {

/// Bounds the lines that a process writes, and counts those that it left out.
class event_rate_limit
{
public:
  event_rate_limit(double aLinesPerSecond, double aBurst)
    : mRate(aLinesPerSecond)
    , mBurst(aBurst)
    , mLevel(aBurst)
  {
  }

  /// True when a line may be written now; counts it as left out otherwise.
  [[nodiscard]] bool TryTake(instant aNow);

  /// Takes the count of lines left out since the last call.
  [[nodiscard]] std::uint64_t TakeDropped();

  /// A line was lost on its way out.
  void OnLost() { ++mDropped; }

private:
  double mRate;
  double mBurst;
  double mLevel;
  instant mFilledAt{};
  std::uint64_t mDropped = 0;
};

}
