#pragma once

#include <LibCore/Instant.h>
#include <LibMembership/LinkCheck.h>

#include <concepts>

namespace lycheeseam {

/// Decides when a link needs a heartbeat and when its peer counts as dead. It
/// says whether traffic other than heartbeats is a sign of life.
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
