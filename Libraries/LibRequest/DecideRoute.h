#pragma once

#include <LibConfig/ConfigTables.h>
#include <LibRequest/AdmittedRoute.h>
#include <LibRequest/CallerRequest.h>

namespace lycheeseam {

/// Finds the rows that apply to a request: its route by path and model, the
/// route's pool, and the workspace of its key. Returns a refusal if the route,
/// the pool, the key or the workspace is missing.
route_decision
DecideRoute(config_tables const& aTables, caller_request const& aRequest);

}
