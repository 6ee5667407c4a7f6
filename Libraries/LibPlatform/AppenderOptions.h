#pragma once

#include <LibCore/Identifiers.h>

#include <chrono>
#include <cstdint>

namespace lycheeseam {

/// The author of the records, and the limits for retrying appends.
struct appender_options
{
  instance_id mInstance;
  incarnation mIncarnation;
  /// How far beyond the known tail a record may still be applied, in offsets.
  std::uint64_t mWindow = 512;
  /// How long failed appends of a record are retried.
  std::chrono::milliseconds mGiveUpAfter{ 5000 };
  /// The backoff after the first failure; doubled with each further one up to
  /// mLongestBackoff.
  std::chrono::milliseconds mFirstBackoff{ 50 };
  std::chrono::milliseconds mLongestBackoff{ 1000 };
  /// The most no-operations in flight that advance an idle log.
  std::uint32_t mMaxIdleAppends = 16;
};

}
