#pragma once

#include <LibCore/Identifiers.h>

#include <chrono>
#include <cstdint>

namespace lycheeseam {

/// Who appends, and how lost answers are settled.
struct appender_options
{
  instance_id mInstance;
  incarnation mIncarnation;
  /// How far beyond the known tail a record may still count, in offsets.
  std::uint64_t mWindow = 512;
  /// How long a record is sent again after lost answers.
  std::chrono::milliseconds mGiveUpAfter{ 5000 };
  /// The pause after a lost answer; doubled with each further one.
  std::chrono::milliseconds mFirstBackoff{ 50 };
  std::chrono::milliseconds mLongestBackoff{ 1000 };
  /// The most no-operations under way to move an idle log on.
  std::uint32_t mMaxIdleMoves = 16;
};

}
