#pragma once

#include <LibRequest/TokenUsage.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lycheeseam {

/// Follows a stream of server-sent events without taking it apart: counts
/// its events, keeps the usage, and knows whether the stream is complete.
class event_stream_scan
{
public:
  /// Feeds the next bytes of the stream; they may break anywhere.
  void Consume(std::string_view aBytes);

  /// The events with content seen so far: a lower bound of the tokens sent.
  [[nodiscard]] std::uint64_t Events() const noexcept { return mEvents; }

  /// True once the stream's last event, "[DONE]", has passed.
  [[nodiscard]] bool IsDone() const noexcept { return mDone; }

  /// True when the bytes so far end with a whole event.
  [[nodiscard]] bool IsAtEventEnd() const noexcept { return mLine.empty(); }

  /// The usage, which engines put into the last event before "[DONE]".
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
