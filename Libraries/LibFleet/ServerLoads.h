#pragma once

#include <LibFleet/LoadRule.h>
#include <LibFleet/NewestObservations.h>

namespace lycheeseam {

/// The newest loads that backend servers reported to instances of this failure
/// domain.
using server_loads = newest_observations<load_rule>;

}
