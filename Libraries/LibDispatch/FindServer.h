#pragma once

#include <LibDispatch/ListedServer.h>

#include <span>

namespace lycheeseam {

/// A server by its id, or null.
listed_server const*
FindServer(std::span<listed_server const> aServers,
           backend_server_id const& aId);

}
