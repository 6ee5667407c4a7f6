#pragma once

#include <LibDispatch/ServerChoiceRequest.h>
#include <LibDispatch/TrackedServer.h>

#include <span>
#include <vector>

/// \file Which servers may take a request, whatever their load is.

namespace lycheeseam {

/// True when the server runs, isn't leaving or loading weights, and hasn't
/// failed of late.
bool
IsAvailable(tracked_server const& aServer, instant aNow);

/// True when nothing but its pause or its rate limit keeps the request from the
/// server.
bool
IsUsable(tracked_server const& aServer, server_choice_request const& aRequest);

/// True when aServer may give aChosen the prompt parts that it caches.
bool
IsCacheSource(tracked_server const& aServer,
              server_choice_request const& aRequest,
              tracked_server const& aChosen);

/// The servers that take the request now.
std::vector<tracked_server*>
EligibleServers(std::span<tracked_server* const> aServers,
                server_choice_request const& aRequest);

}
