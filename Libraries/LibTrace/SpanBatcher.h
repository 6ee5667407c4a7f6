#pragma once

#include <LibCore/Instant.h>
#include <LibTrace/SpanBatchOptions.h>
#include <LibTrace/TraceSpan.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace lycheeseam {

/// Decides when finished spans leave for the collector; sends nothing itself.
/// One export is under way at a time.
class span_batcher
{
public:
  explicit span_batcher(span_batch_options aOptions);

  /// Queues a finished span, or drops it when the queue is full.
  void Add(trace_span aSpan, instant aNow);

  /// The spans to export now; empty when it isn't time yet. The caller
  /// reports the result by OnExported or OnFailed.
  [[nodiscard]] std::vector<trace_span> TakeBatch(instant aNow);

  /// The export succeeded.
  void OnExported();

  /// The export failed: its spans are lost and the next one waits.
  void OnFailed(std::size_t aLostSpans, instant aNow);

  /// Spans dropped so far.
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
