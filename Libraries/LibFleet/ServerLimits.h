#pragma once

#include <LibFleet/LimitRule.h>
#include <LibFleet/NewestObservations.h>

namespace lycheeseam {

/// The newest observations of backend servers' rate limits, by any instance.
using server_limits = newest_observations<limit_rule>;

}
