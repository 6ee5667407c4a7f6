#pragma once

#include <LibCore/Instant.h>
#include <LibTrace/SpanBatchOptions.h>
#include <LibTrace/TraceSpan.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace lycheeseam {

/// Queues finished spans and decides when the caller exports them to the
/// collector; it does no I/O. At most one export is in progress.
class span_batcher
{
public:
  explicit span_batcher(span_batch_options aOptions);

  /// Queues a finished span, or drops it when the queue is full.
  void Add(trace_span aSpan, instant aNow);

  /// Takes the spans to export now; empty when no batch is due or an export is
  /// in progress. The caller reports the result by OnExported or OnFailed.
  [[nodiscard]] std::vector<trace_span> TakeBatch(instant aNow);

  /// Reports that the export succeeded.
  void OnExported();

  /// Reports that the export failed: its spans count as dropped, and the next
  /// export waits for the backoff.
  void OnFailed(std::size_t aFailedSpans, instant aNow);

  /// The number of spans dropped since the start.
  [[nodiscard]] std::uint64_t Dropped() const noexcept { return mDropped; }

private:
  [[nodiscard]] bool IsDue(instant aNow) const;

  struct queued_span
  {
    trace_span mSpan;
    instant mQueuedAt;
  };

  span_batch_options mOptions;
  std::deque<queued_span> mQueue;
  bool mIsExporting = false;
  duration mBackoff{};
  instant mNotBefore{};
  std::uint64_t mDropped = 0;
};

}
