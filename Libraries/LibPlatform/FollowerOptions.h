#pragma once

#include <chrono>
#include <cstdint>

namespace lycheeseam {

/// Sizes, waits and backoff of a follower's reads of the log.
struct follower_options
{
  /// The most records of one read.
  std::uint32_t mMaxRecords = 256;
  /// How long the log may hold a read back until there is a new record.
  std::chrono::milliseconds mMaxWait{ 1000 };
  /// The backoff after the first failed read; doubled with each further one up
  /// to mLongestBackoff.
  std::chrono::milliseconds mFirstBackoff{ 50 };
  std::chrono::milliseconds mLongestBackoff{ 2000 };
  /// How far before the tail the search for a checkpoint begins, in offsets.
  std::uint64_t mSearchWindow = 4096;
};

}
