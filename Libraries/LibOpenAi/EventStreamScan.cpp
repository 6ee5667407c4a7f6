#include <LibOpenAi/EventStreamScan.h>
#include <LibOpenAi/ParseUsage.h>

namespace lycheeseam {

void
event_stream_scan::Consume(std::string_view aBytes)
{
  while (!aBytes.empty()) {
    // The empty line within CR LF is skipped like any other.
    std::size_t const end = aBytes.find_first_of("\r\n");
    if (end == std::string_view::npos) {
      mLine += aBytes;
      return;
    }
    // A complete line is scanned in place; only a line that is split over
    // several calls is copied.
    if (mLine.empty()) {
      ConsumeLine(aBytes.substr(0, end));
    } else {
      mLine += aBytes.substr(0, end);
      ConsumeLine(mLine);
      mLine.clear();
    }
    aBytes.remove_prefix(end + 1);
  }
}

void
event_stream_scan::ConsumeLine(std::string_view aLine)
{
  static constexpr std::string_view kData = "data: ";
  if (!aLine.starts_with(kData))
    return;
  std::string_view const data = aLine.substr(kData.size());
  if (data.starts_with("[DONE]")) {
    mDone = true;
    return;
  }
  ++mEvents;
  // Only the last event carries the usage. Parsing every event as JSON would
  // cost more than all other work on a token.
  if (data.find("\"usage\":{") == std::string_view::npos &&
      data.find("\"usage\": {") == std::string_view::npos)
    return;
  std::optional<token_usage> const usage = ParseUsage(data);
  if (usage)
    mUsage = usage;
}

}
