#pragma once

#include <ctime>

namespace lycheeseam::bench {

/// Measures the processor time that this process has used since the timer's
/// construction. The load of other processes doesn't change it.
class processor_timer
{
public:
  /// The processor time per operation, in nanoseconds.
  [[nodiscard]] double NanosecondsEach(double aOperations) const
  {
    double const seconds =
      static_cast<double>(std::clock() - mStart) / CLOCKS_PER_SEC;
    return seconds * 1e9 / aOperations;
  }

private:
  std::clock_t mStart = std::clock();
};

}
