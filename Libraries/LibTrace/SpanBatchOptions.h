#pragma once

#include <LibCore/Instant.h>

#include <chrono>
#include <cstddef>

namespace lycheeseam {

/// When a span_batcher exports spans to the collector.
struct span_batch_options
{
  /// The largest batch; this many queued spans are exported without a wait.
  std::size_t mBatchSpans = 512;
  /// A smaller batch is exported when its oldest span has waited this long.
  duration mMaxWait = std::chrono::seconds{ 2 };
  /// Spans that would exceed this queue length are dropped and counted.
  std::size_t mMaxQueuedSpans = 8192;
  /// The backoff after a failed export; doubles with each consecutive failure,
  /// up to mMaxBackoff.
  duration mMinBackoff = std::chrono::seconds{ 1 };
  duration mMaxBackoff = std::chrono::seconds{ 60 };
};

}
