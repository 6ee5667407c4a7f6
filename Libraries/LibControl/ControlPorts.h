#pragma once

#include <LibFront/FrontMessage.h>
#include <LibUpstream/UpstreamCommand.h>

#include <utility>

namespace lycheeseam {

/// Posts messages of the control thread to the traffic threads.
template<typename Ports>
concept control_ports = requires(Ports& aPorts,
                                 front_message aMessage,
                                 upstream_command aCommand)
{
  aPorts.PostFront(std::move(aMessage));
  aPorts.PostUpstream(std::move(aCommand));
};

}
