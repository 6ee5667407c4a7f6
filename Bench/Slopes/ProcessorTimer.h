#pragma once

#include <ctime>

namespace lycheeseam::bench {

/// Processor time of this process since the timer was made; time that other
/// processes take doesn't count.
class processor_timer
{
public:
  /// Nanoseconds for each of a number of operations.
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
