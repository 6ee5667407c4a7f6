#pragma once

#include <chrono>

namespace lycheeseam {

/// The latency, the retention and the faults of a fake_log.
struct fake_log_options
{
  /// The round-trip time of a call without jitter.
  std::chrono::microseconds mLatency{ 2000 };
  /// The largest random addition to the latency.
  std::chrono::microseconds mJitter{ 8000 };
  /// How long a record stays readable.
  std::chrono::milliseconds mRetention{ 3'600'000 };
  /// The probability in percent that a record is appended but the answer is
  /// lost.
  int mLostPercent = 0;
  /// The probability in percent that the answer is lost and the record is
  /// appended later.
  int mLatePercent = 0;
  /// The longest delay of a late append.
  std::chrono::milliseconds mLateBy{ 3000 };
};

}
