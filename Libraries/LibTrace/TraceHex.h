#pragma once

#include <LibTrace/SpanId.h>
#include <LibTrace/TraceId.h>

#include <optional>
#include <string>
#include <string_view>

namespace lycheeseam {

/// 32 lower-case hexadecimal digits.
std::string
TraceIdHex(trace_id const& aTrace);

/// 16 lower-case hexadecimal digits.
std::string
SpanIdHex(span_id const& aSpan);

/// Parses 32 lower-case hexadecimal digits that aren't all zero.
std::optional<trace_id>
ParseTraceId(std::string_view aHex);

/// Parses 16 lower-case hexadecimal digits that aren't all zero.
std::optional<span_id>
ParseSpanId(std::string_view aHex);

}
