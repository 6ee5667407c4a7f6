#include <LibTrace/TraceHex.h>
#include <LibTrace/TraceParent.h>

namespace lycheeseam {

namespace {

// "vv-tttttttttttttttttttttttttttttttt-ssssssssssssssss-ff"
constexpr std::size_t kTraceAt = 3;
constexpr std::size_t kTraceDigits = 2 * trace_id::kBytes;
constexpr std::size_t kSpanAt = kTraceAt + kTraceDigits + 1;
constexpr std::size_t kSpanDigits = 2 * span_id::kBytes;
constexpr std::size_t kFlagsAt = kSpanAt + kSpanDigits + 1;
constexpr std::size_t kLength = kFlagsAt + 2;
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
HasGoodVersion(std::string_view aHeader)
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
  if (aHeader.size() < kLength || !HasGoodVersion(aHeader))
    return std::nullopt;
  bool const hasDashes = aHeader[kTraceAt - 1] == '-' &&
                         aHeader[kSpanAt - 1] == '-' &&
                         aHeader[kFlagsAt - 1] == '-';
  std::optional<trace_id> const trace =
    ParseTraceId(aHeader.substr(kTraceAt, kTraceDigits));
  std::optional<span_id> const span =
    ParseSpanId(aHeader.substr(kSpanAt, kSpanDigits));
  int const highFlags = HexDigit(aHeader[kFlagsAt]);
  int const lowFlags = HexDigit(aHeader[kFlagsAt + 1]);
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
