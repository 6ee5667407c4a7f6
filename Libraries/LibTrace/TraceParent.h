#pragma once

#include <LibTrace/SpanId.h>
#include <LibTrace/TraceId.h>

#include <optional>
#include <string>
#include <string_view>

namespace lycheeseam {

/// What a hop tells the next one (W3C Trace Context, header "traceparent").
struct trace_parent
{
  trace_id mTrace;
  /// The sender's span.
  span_id mSpan;
  bool mIsSampled = true;

  /// Parses a header's value; nothing when it is malformed, so that the
  /// receiver starts a trace of its own. Versions later than 00 may have
  /// more fields, which are ignored.
  static std::optional<trace_parent> Parse(std::string_view aHeader);

  /// The header's value in version 00.
  [[nodiscard]] std::string Text() const;

  bool operator==(trace_parent const&) const = default;
};

}
