#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace lycheeseam {

/// Cuts a stream of server-sent events at the ends of its events, and knows
/// the last event's id, so that a broken stream can go on elsewhere.
class event_cutter
{
public:
  /// Adds bytes and returns those that make whole events; the rest waits.
  [[nodiscard]] std::string Cut(std::string_view aBytes);

  /// Drops a part of an event that will never be whole.
  void DropRest() { mRest.clear(); }

  /// Takes the bytes behind the last whole event.
  [[nodiscard]] std::string TakeRest() { return std::exchange(mRest, {}); }

  /// True when nothing of an unfinished event waits.
  [[nodiscard]] bool IsAtEventEnd() const noexcept { return mRest.empty(); }

  /// The id of the last whole event, if it had one.
  [[nodiscard]] std::optional<std::uint64_t> LastId() const noexcept
  {
    return mLastId;
  }

private:
  void NoteIds(std::string_view aEvents);

  std::string mRest;
  std::optional<std::uint64_t> mLastId;
};

}
