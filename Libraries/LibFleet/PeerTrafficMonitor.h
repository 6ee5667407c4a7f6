#pragma once

#include <LibCore/Instant.h>
#include <LibPeer/PeerCounters.h>

#include <chrono>
#include <cstdint>

namespace lycheeseam {

/// Logs once a second how much was exchanged with peers, when that is more than
/// a slow link carries beside the traffic of callers.
class peer_traffic_monitor
{
public:
  /// aCounters are the counts over all links so far.
  void OnTick(instant aNow, peer_counters const& aCounters);

private:
  static constexpr std::chrono::seconds kInterval{ 1 };
  /// Bytes sent and received in an interval that are worth a line.
  static constexpr std::uint64_t kLoggedBytes = 262'144;

  instant mLoggedAt{};
  peer_counters mBefore;
};

}
