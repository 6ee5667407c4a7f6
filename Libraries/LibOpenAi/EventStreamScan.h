#pragma once

#include <LibRequest/TokenUsage.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lycheeseam {

/// Scans a stream of server-sent events that is forwarded unchanged: counts its
/// events, reads the usage, and tells whether the stream is complete.
class event_stream_scan
{
public:
  /// Scans the next bytes of the stream; they may begin and end anywhere.
  void Consume(std::string_view aBytes);

  /// The number of events with data so far, without "[DONE]"; serves as a lower
  /// bound of the tokens sent.
  [[nodiscard]] std::uint64_t Events() const noexcept { return mEvents; }

  /// True once the stream's last event, "[DONE]", has been scanned.
  [[nodiscard]] bool IsDone() const noexcept { return mDone; }

  /// True when the bytes so far end with a complete line, so that no event is
  /// broken off within its line.
  [[nodiscard]] bool IsAtEventEnd() const noexcept { return mLine.empty(); }

  /// The usage, which engines report in the last event before "[DONE]".
  [[nodiscard]] std::optional<token_usage> const& Usage() const noexcept
  {
    return mUsage;
  }

private:
  void ConsumeLine(std::string_view aLine);

  std::string mLine;
  std::uint64_t mEvents = 0;
  bool mDone = false;
  std::optional<token_usage> mUsage;
};

}
