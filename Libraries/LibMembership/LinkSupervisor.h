#pragma once

#include <LibCore/Instant.h>
#include <LibMembership/LinkCheck.h>

#include <concepts>

namespace lycheeseam {

/// Decides when a link needs a heartbeat and when its peer counts as dead.
/// kCountsAllTraffic says whether any traffic, or only a heartbeat, shows that
/// the peer is alive.
template<typename Supervisor>
concept link_supervisor = requires(Supervisor& aSupervisor, instant aNow)
{
  {
    Supervisor::kCountsAllTraffic
    } -> std::convertible_to<bool>;
  aSupervisor.OnReceived(aNow);
  {
    aSupervisor.Check(aNow)
    } -> std::same_as<link_check>;
};

}
