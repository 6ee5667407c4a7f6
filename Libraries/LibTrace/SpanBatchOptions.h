#pragma once

#include <LibCore/Instant.h>

#include <chrono>
#include <cstddef>

namespace lycheeseam {

/// When spans leave for the collector.
struct span_batch_options
{
  /// A batch of this size leaves at once.
  std::size_t mBatchSpans = 512;
  /// A smaller one leaves when its oldest span has waited this long.
  duration mMaxWait = std::chrono::seconds{ 2 };
  /// Spans beyond this are dropped and counted.
  std::size_t mMaxQueuedSpans = 8192;
  /// The pause after a failed export; doubles with each up to the maximum.
  duration mMinBackoff = std::chrono::seconds{ 1 };
  duration mMaxBackoff = std::chrono::seconds{ 60 };
};

}
