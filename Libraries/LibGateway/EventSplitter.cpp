#include <LibGateway/EventSplitter.h>
#include <LibHttp/FieldLookup.h>

#include <algorithm>

namespace lycheeseam {

namespace {

// Only streams whose lines end in LF alone are split.
constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kIdLine = "id:";

}

std::string
event_splitter::Split(std::string_view aBytes)
{
  mPartial += aBytes;
  std::size_t const end = mPartial.rfind(kEventEnd);
  if (end == std::string::npos)
    return {};
  std::string complete = mPartial.substr(0, end + kEventEnd.size());
  mPartial.erase(0, complete.size());
  NoteIds(complete);
  return complete;
}

void
event_splitter::NoteIds(std::string_view aEvents)
{
  std::size_t at = aEvents.rfind(kIdLine);
  while (at != std::string_view::npos && at > 0 && aEvents[at - 1] != '\n')
    at = aEvents.rfind(kIdLine, at - 1);
  if (at == std::string_view::npos)
    return;
  std::string_view value = aEvents.substr(at + kIdLine.size());
  value = value.substr(0, value.find_first_of("\r\n"));
  value.remove_prefix(std::min(value.find_first_not_of(' '), value.size()));
  if (std::optional<std::int64_t> const id = ParseWholeNumber(value))
    mLastId = static_cast<std::uint64_t>(*id);
}

}
