#pragma once

#include <LibCore/Instant.h>
#include <LibMembership/LinkCheck.h>
#include <LibMembership/QuietLinkOptions.h>

#include <cstdint>

namespace lycheeseam {

/// Counts any traffic as a sign that the peer is alive. Pings only a link that
/// receives none, a few times in quick succession; after that the peer counts
/// as dead. (Enea LINX protocols, section 5.1.5, connection supervision.)
class quiet_link_supervisor
{
public:
  quiet_link_supervisor(quiet_link_options aOptions, instant aNow);

  static constexpr bool kCountsAllTraffic = true;

  /// Any traffic arrived from the peer.
  void OnReceived(instant aNow);

  /// Returns the action that is due; to be called at least once a ping
  /// interval.
  [[nodiscard]] link_check Check(instant aNow);

private:
  [[nodiscard]] bool IsHeartbeatDue(instant aNow) const;

  quiet_link_options mOptions;
  instant mLastReceived;
  /// When the last heartbeat or ping was sent.
  instant mLastSent;
  std::uint32_t mPings = 0;
};

}
