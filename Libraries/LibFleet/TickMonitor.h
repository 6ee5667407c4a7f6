#pragma once

#include <LibCore/Instant.h>

#include <chrono>
#include <optional>

namespace lycheeseam {

/// Logs ticks of the control thread that are late: all input is handled as late
/// as they are.
class tick_monitor
{
public:
  explicit tick_monitor(duration aInterval)
    : mInterval(aInterval)
  {
  }

  /// A tick has begun.
  void OnTick(instant aNow);

private:
  static constexpr std::chrono::milliseconds kLateTick{ 250 };

  duration mInterval;
  /// When the next tick is due; empty before the first one.
  std::optional<instant> mDueAt;
};

}
