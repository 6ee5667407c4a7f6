#pragma once

#include <LibCore/Instant.h>
#include <LibMembership/FixedHeartbeatOptions.h>
#include <LibMembership/LinkCheck.h>

namespace lycheeseam {

/// Sends a heartbeat at each interval, whatever the other traffic, and counts
/// only heartbeats of the peer as a sign that it is alive.
class fixed_heartbeat_supervisor
{
public:
  fixed_heartbeat_supervisor(fixed_heartbeat_options aOptions, instant aNow);

  static constexpr bool kCountsAllTraffic = false;

  /// A heartbeat arrived from the peer.
  void OnReceived(instant aNow);

  /// Returns the action that is due; to be called at least once an interval.
  [[nodiscard]] link_check Check(instant aNow);

private:
  fixed_heartbeat_options mOptions;
  instant mLastReceived;
  instant mNextHeartbeat;
};

}
