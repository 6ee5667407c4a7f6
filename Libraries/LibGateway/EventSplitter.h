#pragma once

#include <LibHttp/EventBoundary.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lycheeseam {

/// Splits a stream of server-sent events at the ends of its events and records
/// the last event id, so that another server can continue a broken stream.
class event_splitter
{
public:
  /// Adds bytes and returns the complete events; keeps a partial one for later.
  [[nodiscard]] std::string Split(std::string_view aBytes);

  /// Drops a partial event that will never be completed.
  void DropPartial();

  /// True when no partial event is kept.
  [[nodiscard]] bool IsAtEventEnd() const noexcept { return mPartial.empty(); }

  /// The bytes kept of a partial event.
  [[nodiscard]] std::size_t PartialBytes() const noexcept
  {
    return mPartial.size();
  }

  /// The last numeric id in the complete events; nothing when none had one.
  [[nodiscard]] std::optional<std::uint64_t> LastId() const noexcept
  {
    return mLastId;
  }

private:
  void NoteIds(std::string_view aEvents);

  event_boundary mBoundary;
  std::string mPartial;
  std::optional<std::uint64_t> mLastId;
};

}
