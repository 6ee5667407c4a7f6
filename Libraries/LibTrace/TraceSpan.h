#pragma once

#include <LibTrace/SpanAttribute.h>
#include <LibTrace/SpanId.h>
#include <LibTrace/SpanResult.h>
#include <LibTrace/TraceHop.h>
#include <LibTrace/TraceId.h>

#include <chrono>
#include <string>
#include <vector>

namespace lycheeseam {

/// One hop of one request.
struct trace_span
{
  /// Wall time, since spans of several machines are read side by side.
  using wall_time = std::chrono::sys_time<std::chrono::nanoseconds>;

  trace_id mTrace;
  span_id mId;
  /// The span that this one is part of; no span at the root.
  span_id mParent;
  std::string mName;
  trace_hop mHop = trace_hop::Front;
  wall_time mStart;
  wall_time mEnd;
  span_result mResult = span_result::Unset;
  std::vector<span_attribute> mAttributes;

  bool operator==(trace_span const&) const = default;
};

}
