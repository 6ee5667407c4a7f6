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

/// The record of one hop of one request: its time, result and attributes.
struct trace_span
{
  /// Wall-clock time, since spans of several machines are compared.
  using wall_time = std::chrono::sys_time<std::chrono::nanoseconds>;

  trace_id mTrace;
  span_id mId;
  /// The parent span; all zero for the root span.
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
