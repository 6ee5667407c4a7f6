#include <LibTrace/TraceHex.h>
#include <LibTrace/TraceParent.h>

namespace lycheeseam {

namespace {

// Version, trace id, span id and flags:
// "vv-tttttttttttttttttttttttttttttttt-ssssssssssssssss-ff"
constexpr std::size_t kTraceOffset = 3;
constexpr std::size_t kTraceDigits = 2 * trace_id::kBytes;
constexpr std::size_t kSpanOffset = kTraceOffset + kTraceDigits + 1;
constexpr std::size_t kSpanDigits = 2 * span_id::kBytes;
constexpr std::size_t kFlagsOffset = kSpanOffset + kSpanDigits + 1;
constexpr std::size_t kLength = kFlagsOffset + 2;
constexpr int kSampledFlag = 1;

int
HexDigit(char aDigit)
{
  if (aDigit >= '0' && aDigit <= '9')
    return aDigit - '0';
  if (aDigit >= 'a' && aDigit <= 'f')
    return aDigit - 'a' + 10;
  return -1;
}

bool
HasValidVersion(std::string_view aHeader)
{
  std::string_view const version = aHeader.substr(0, 2);
  if (HexDigit(version[0]) < 0 || HexDigit(version[1]) < 0 || version == "ff")
    return false;
  if (version == "00")
    return aHeader.size() == kLength;
  return aHeader.size() == kLength || aHeader[kLength] == '-';
}

}

std::optional<trace_parent>
trace_parent::Parse(std::string_view aHeader)
{
  if (aHeader.size() < kLength || !HasValidVersion(aHeader))
    return std::nullopt;
  bool const hasDashes = aHeader[kTraceOffset - 1] == '-' &&
                         aHeader[kSpanOffset - 1] == '-' &&
                         aHeader[kFlagsOffset - 1] == '-';
  std::optional<trace_id> const trace =
    ParseTraceId(aHeader.substr(kTraceOffset, kTraceDigits));
  std::optional<span_id> const span =
    ParseSpanId(aHeader.substr(kSpanOffset, kSpanDigits));
  int const highFlags = HexDigit(aHeader[kFlagsOffset]);
  int const lowFlags = HexDigit(aHeader[kFlagsOffset + 1]);
  if (!hasDashes || !trace || !span || highFlags < 0 || lowFlags < 0)
    return std::nullopt;
  return trace_parent{ .mTrace = *trace,
                       .mSpan = *span,
                       .mIsSampled = (lowFlags & kSampledFlag) != 0 };
}

std::string
trace_parent::Text() const
{
  return "00-" + TraceIdHex(mTrace) + "-" + SpanIdHex(mSpan) +
         (mIsSampled ? "-01" : "-00");
}

}
