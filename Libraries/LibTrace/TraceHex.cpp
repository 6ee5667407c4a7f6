#include <LibTrace/TraceHex.h>

#include <span>

namespace lycheeseam {

namespace {

constexpr std::string_view kDigits = "0123456789abcdef";

std::string
ToHex(std::span<std::uint8_t const> aBytes)
{
  std::string text;
  for (std::uint8_t const byte : aBytes) {
    text += kDigits[byte >> 4];
    text += kDigits[byte & 0xf];
  }
  return text;
}

template<typename Id>
std::optional<Id>
FromHex(std::string_view aHex)
{
  if (aHex.size() != 2 * Id::kBytes)
    return std::nullopt;
  Id result;
  for (std::size_t i = 0; i < Id::kBytes; ++i) {
    std::size_t const high = kDigits.find(aHex[2 * i]);
    std::size_t const low = kDigits.find(aHex[2 * i + 1]);
    if (high == std::string_view::npos || low == std::string_view::npos)
      return std::nullopt;
    result.mBytes[i] = static_cast<std::uint8_t>(high << 4 | low);
  }
  if (result == Id{})
    return std::nullopt;
  return result;
}

}

std::string
TraceIdHex(trace_id const& aTrace)
{
  return ToHex(aTrace.mBytes);
}

std::string
SpanIdHex(span_id const& aSpan)
{
  return ToHex(aSpan.mBytes);
}

std::optional<trace_id>
ParseTraceId(std::string_view aHex)
{
  return FromHex<trace_id>(aHex);
}

std::optional<span_id>
ParseSpanId(std::string_view aHex)
{
  return FromHex<span_id>(aHex);
}

}
