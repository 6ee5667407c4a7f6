#pragma once

#include <LibDispatch/RegisteredServer.h>

#include <span>

namespace lycheeseam {

/// A server by its id, or null.
registered_server const*
FindServer(std::span<registered_server const> aServers,
           backend_server_id const& aId);

}
