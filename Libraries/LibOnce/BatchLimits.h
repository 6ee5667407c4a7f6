#pragma once

#include <LibCore/Instant.h>

#include <cstddef>
#include <cstdint>

namespace lycheeseam {

/// When claims and outcomes are appended to the log, and in what sizes.
struct batch_limits
{
  /// The maximum time that a claim or outcome waits for others to share its
  /// record.
  duration mDelay = std::chrono::milliseconds{ 20 };
  /// The number of claims or outcomes at which a record is appended without
  /// waiting.
  std::size_t mFlushEntries = 256;
  /// The total size of answers, in bytes, at which a record is appended
  /// without waiting.
  std::size_t mFlushBytes = 256'000;
  /// The maximum size of an answer that is stored with its outcome, in bytes.
  std::size_t mMaxBodyBytes = 4'096;
  /// The time after which outcomes that were not read back are appended again.
  duration mRetryAfter = std::chrono::seconds{ 1 };
  /// A claim that lands more than this many entries after the newest known
  /// offset is ignored.
  std::uint64_t mClaimOffsets = 5'000;
};

}
