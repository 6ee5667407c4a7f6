#include <LibGateway/EventSplitter.h>
#include <LibHttp/FieldLookup.h>

#include <algorithm>
#include <utility>

namespace lycheeseam {

namespace {

constexpr std::string_view kIdLine = "id:";

bool
IsAtLineStart(std::string_view aText, std::size_t aAt)
{
  return aAt == 0 || aText[aAt - 1] == '\n' || aText[aAt - 1] == '\r';
}

}

std::string
event_splitter::Split(std::string_view aBytes)
{
  std::size_t const end = mBoundary.Scan(aBytes);
  if (end == 0) {
    mPartial += aBytes;
    return {};
  }
  std::string complete = std::exchange(mPartial, {});
  complete += aBytes.substr(0, end);
  mPartial = aBytes.substr(end);
  NoteIds(complete);
  return complete;
}

void
event_splitter::DropPartial()
{
  mPartial.clear();
  mBoundary = {};
}

void
event_splitter::NoteIds(std::string_view aEvents)
{
  std::size_t at = aEvents.rfind(kIdLine);
  while (at != std::string_view::npos && !IsAtLineStart(aEvents, at))
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
