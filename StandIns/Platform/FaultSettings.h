#pragma once

#include <chrono>
#include <cstdint>

namespace lycheeseam::standin {

/// The faults that the stand-in platform simulates; a PUT to /control/faults
/// sets them.
struct fault_settings
{
  /// Every call is refused with 503 and has no effect.
  bool mOutage = false;
  /// The delay before every answer.
  std::chrono::milliseconds mDelay{ 0 };
  /// This many next appends take effect but are answered 504, as if the answer
  /// were lost.
  std::uint32_t mLoseAnswers = 0;
  /// This many next appends are answered 504 at once and take effect later.
  std::uint32_t mLateAppends = 0;
  /// How much later the late appends take effect.
  std::chrono::milliseconds mLateBy{ 1000 };
  /// The most records that the log retains; older ones are dropped.
  std::uint32_t mRetentionRecords = 100'000;
  /// How old the list of instances is that readers get.
  std::chrono::milliseconds mListLag{ 0 };
  /// The most downloads of weights that may start per second.
  std::uint32_t mWeightsPerSecond = 10;
  /// How long one download takes.
  std::chrono::milliseconds mWeightsTime{ 100 };
};

}
