#pragma once

#include <LibDispatch/PlacementCosts.h>
#include <LibDispatch/ServerChoiceRequest.h>
#include <LibDispatch/TrackedServer.h>

/// \file What a request would have to wait for on a server.

namespace lycheeseam {

/// The server's load. Requests of other instances count with the typical tokens
/// of the pool: an instance of a large fleet sends so few requests to each
/// server that its own mean for the server is too low for minutes.
load_estimate
EstimateFor(tracked_server const& aServer,
            server_choice_request const& aRequest);

/// How fast the server works now, relative to the usual speed of its pool.
double
CurrentSpeed(load_estimate const& aEstimate);

/// True when the request's prompt and expected answer fit in the server's free
/// memory.
bool
HasMemory(tracked_server const& aServer,
          load_estimate const& aEstimate,
          server_choice_request const& aRequest);

/// True when the request finds a slot and memory on the server.
bool
HasRoom(tracked_server const& aServer,
        load_estimate const& aEstimate,
        server_choice_request const& aRequest);

/// The expected time from sending the request to its first event, with the
/// delay and the price of leaving the failure domain. aTokens must be read on
/// the server.
duration
ExpectedTime(tracked_server const& aServer,
             server_choice_request const& aRequest,
             double aTokens,
             placement_costs const& aCosts);

}
