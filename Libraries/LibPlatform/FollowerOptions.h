#pragma once

#include <chrono>
#include <cstdint>

namespace lycheeseam {

/// How a follower reads the log.
struct follower_options
{
  std::uint32_t mMaxRecords = 256;
  /// How long a read waits at the log for something new.
  std::chrono::milliseconds mMaxWait{ 1000 };
  /// The pause after a failed read; doubled with each further one.
  std::chrono::milliseconds mFirstBackoff{ 50 };
  std::chrono::milliseconds mLongestBackoff{ 2000 };
  /// How far before the tail the search for a checkpoint begins, in offsets.
  std::uint64_t mSearchWindow = 4096;
};

}
