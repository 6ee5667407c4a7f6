#pragma once

#include <chrono>
#include <cstdint>

namespace lycheeseam::standin {

/// What is wrong with the stand-in at the moment; set over /control/faults.
struct fault_settings
{
  /// Every call is refused with 503 and has no effect.
  bool mOutage = false;
  /// Every answer waits this long.
  std::chrono::milliseconds mDelay{ 0 };
  /// So many appends take effect, but their answers are lost (504).
  std::uint32_t mLoseAnswers = 0;
  /// So many appends are answered 504 at once and take effect later.
  std::uint32_t mLateAppends = 0;
  /// How much later those take effect.
  std::chrono::milliseconds mLateBy{ 1000 };
  /// The most records that the log keeps.
  std::uint32_t mRetentionRecords = 100'000;
  /// How much the list of instances lags.
  std::chrono::milliseconds mListLag{ 0 };
  /// How many weights the store gives out in a second.
  std::uint32_t mWeightsPerSecond = 10;
  /// How long the store takes for one.
  std::chrono::milliseconds mWeightsTime{ 100 };
};

}
