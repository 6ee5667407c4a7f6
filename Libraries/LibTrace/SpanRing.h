#pragma once

#include <LibTrace/TraceSpan.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace lycheeseam {

/// Keeps the newest spans in a ring buffer and finds them by trace.
class span_ring
{
public:
  /// Keeps at most aCapacity spans; at least one.
  explicit span_ring(std::size_t aCapacity);

  /// Adds a span; drops the oldest one when the ring is full.
  void Add(trace_span aSpan);

  /// The kept spans of one trace, ordered by start time.
  [[nodiscard]] std::vector<trace_span> Find(trace_id const& aTrace) const;

  /// The number of spans kept.
  [[nodiscard]] std::size_t size() const noexcept { return mSpans.size(); }

private:
  void DropOldest();

  std::size_t mCapacity;
  /// The number of the oldest kept span; each added span gets the next number.
  std::uint64_t mFirstNumber = 0;
  std::deque<trace_span> mSpans;
  std::unordered_map<trace_id, std::deque<std::uint64_t>> mNumbersByTrace;
};

}
