#pragma once

#include <LibAdmission/BudgetState.h>
#include <LibConfig/PriorityClass.h>

namespace lycheeseam {

/// The priority to ask of an engine: the route's, one lower for a workspace
/// that is at its rate's bound, so that its flood waits behind the others.
priority_class
EnginePriority(priority_class aRoute, budget_state aBudget);

}
