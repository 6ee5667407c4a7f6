#pragma once

#include <LibCore/Instant.h>

#include <cstdint>

namespace lycheeseam {

/// A token bucket that limits the log lines of a process and counts the
/// dropped ones.
class event_rate_limit
{
public:
  event_rate_limit(double aLinesPerSecond, double aBurst)
    : mRate(aLinesPerSecond)
    , mBurst(aBurst)
    , mTokens(aBurst)
  {
  }

  /// True when a line may be written now; otherwise counts it as dropped.
  [[nodiscard]] bool TryTake(instant aNow);

  /// Takes the number of lines that TryTake and OnDropped counted as dropped
  /// since the last call.
  [[nodiscard]] std::uint64_t TakeDropped();

  /// Counts a line that was dropped after TryTake admitted it.
  void OnDropped() { ++mDropped; }

private:
  double mRate;
  double mBurst;
  double mTokens;
  instant mFilledAt{};
  std::uint64_t mDropped = 0;
};

}
