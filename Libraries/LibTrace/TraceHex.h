#pragma once

#include <LibTrace/SpanId.h>
#include <LibTrace/TraceId.h>

#include <optional>
#include <string>
#include <string_view>

namespace lycheeseam {

/// Formats a trace id as 32 lower-case hexadecimal digits.
std::string
TraceIdHex(trace_id const& aTrace);

/// Formats a span id as 16 lower-case hexadecimal digits.
std::string
SpanIdHex(span_id const& aSpan);

/// Parses 32 lower-case hexadecimal digits that aren't all zero; nothing for
/// any other text.
std::optional<trace_id>
ParseTraceId(std::string_view aHex);

/// Parses 16 lower-case hexadecimal digits that aren't all zero; nothing for
/// any other text.
std::optional<span_id>
ParseSpanId(std::string_view aHex);

}
