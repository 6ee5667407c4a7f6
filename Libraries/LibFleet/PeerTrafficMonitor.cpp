#include <LibEvents/EventLog.h>
#include <LibFleet/PeerTrafficMonitor.h>

#include <utility>

namespace lycheeseam {

void
peer_traffic_monitor::OnTick(instant aNow, peer_counters const& aCounters)
{
  duration const elapsed = aNow - mLoggedAt;
  if (elapsed < kInterval)
    return;
  mLoggedAt = aNow;
  peer_counters const before = std::exchange(mBefore, aCounters);
  std::uint64_t const sent = aCounters.mBytesSent - before.mBytesSent;
  std::uint64_t const received =
    aCounters.mBytesReceived - before.mBytesReceived;
  if (sent + received < kLoggedBytes)
    return;
  auto const count = [](std::uint64_t aNumber) {
    return static_cast<std::int64_t>(aNumber);
  };
  LogEvent(
    "peer_traffic",
    { { "sent_bytes", count(sent) },
      { "received_bytes", count(received) },
      { "sent", count(aCounters.mFramesSent - before.mFramesSent) },
      { "received", count(aCounters.mFramesReceived - before.mFramesReceived) },
      { "dialled", count(aCounters.mDialled - before.mDialled) },
      { "since_ms",
        std::int64_t{
          std::chrono::duration_cast<std::chrono::milliseconds>(elapsed)
            .count() } } });
}

}
