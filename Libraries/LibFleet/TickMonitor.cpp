#include <LibEvents/EventLog.h>
#include <LibFleet/TickMonitor.h>

#include <cstdint>
#include <utility>

namespace lycheeseam {

void
tick_monitor::OnTick(instant aNow)
{
  instant const dueAt = std::exchange(mDueAt, aNow + mInterval).value_or(aNow);
  if (aNow - dueAt < kLateTick)
    return;
  LogEvent(
    "control_late",
    { { "late_ms",
        std::int64_t{
          std::chrono::duration_cast<std::chrono::milliseconds>(aNow - dueAt)
            .count() } } });
}

}
