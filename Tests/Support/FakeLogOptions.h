#pragma once

#include <chrono>

namespace lycheeseam {

/// How the fake log behaves when it isn't broken on purpose.
struct fake_log_options
{
  std::chrono::microseconds mLatency{ 2000 };
  /// Each answer takes up to this much longer.
  std::chrono::microseconds mJitter{ 8000 };
  /// How long a record is kept.
  std::chrono::milliseconds mRetention{ 3'600'000 };
  /// The chance that an append's answer is lost after it took effect, in
  /// hundredths.
  int mLostPercent = 0;
  /// The chance that it is lost and the record lands later, in hundredths.
  int mLatePercent = 0;
  /// How much later at most.
  std::chrono::milliseconds mLateBy{ 3000 };
};

}
