#pragma once

#include <LibCore/Instant.h>
#include <LibMembership/LinkCheck.h>
#include <LibMembership/QuietLinkOptions.h>

#include <cstdint>

namespace lycheeseam {

/// Takes any traffic for a sign of life and pings only on silence: a few
/// rapid pings, then the peer counts as dead. (Enea LINX protocols, section
/// 5.1.5, connection supervision.)
class quiet_link_supervisor
{
public:
  quiet_link_supervisor(quiet_link_options aOptions, instant aNow);

  static constexpr bool kCountsAllTraffic = true;

  /// Anything at all came from the peer.
  void OnReceived(instant aNow);

  /// To be called at least once a ping interval.
  [[nodiscard]] link_check Check(instant aNow);

private:
  [[nodiscard]] bool IsBeatDue(instant aNow) const;

  quiet_link_options mOptions;
  instant mLastReceived;
  /// When a heartbeat or a ping left last.
  instant mLastSent;
  std::uint32_t mPings = 0;
};

}
