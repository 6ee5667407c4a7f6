#pragma once

#include <LibTrace/SpanId.h>
#include <LibTrace/TraceId.h>

#include <optional>
#include <string>
#include <string_view>

namespace lycheeseam {

/// The trace context that one hop passes to the next in the header
/// "traceparent" (W3C Trace Context).
struct trace_parent
{
  trace_id mTrace;
  /// The sender's span.
  span_id mSpan;
  bool mIsSampled = true;

  /// Parses the value of the header; nothing when it is malformed, in which
  /// case the receiver starts a new trace. Versions later than 00 may have
  /// more fields, which are ignored.
  static std::optional<trace_parent> Parse(std::string_view aHeader);

  /// The value of the header, in version 00.
  [[nodiscard]] std::string Text() const;

  bool operator==(trace_parent const&) const = default;
};

}
