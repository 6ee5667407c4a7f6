#pragma once

#include <LibDispatch/RegisteredServer.h>

#include <span>

namespace lycheeseam {

/// Returns the server with an id, or null.
registered_server const*
FindServer(std::span<registered_server const> aServers,
           backend_server_id const& aId);

}
