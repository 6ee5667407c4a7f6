#pragma once

#include <LibAdmission/BudgetState.h>
#include <LibConfig/PriorityClass.h>

namespace lycheeseam {

/// Returns the priority of a request at the engine: the route's, lowered by one
/// class when the workspace is at its rate limit, so that its excess requests
/// wait behind those of other workspaces.
priority_class
EnginePriority(priority_class aRoute, budget_state aBudget);

}
