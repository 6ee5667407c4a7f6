#pragma once

#include <LibConfig/ConfigTables.h>
#include <LibRequest/AdmittedRoute.h>
#include <LibRequest/CallerRequest.h>

namespace lycheeseam {

/// Finds the rows that a request runs under: its route by path and model,
/// the route's pool, and the workspace of its key.
route_decision
DecideRoute(config_tables const& aTables, caller_request const& aRequest);

}
