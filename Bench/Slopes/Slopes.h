#pragma once

#include <Bench/Slopes/SlopeResult.h>

#include <vector>

namespace lycheeseam::bench {

/// The full policy's choice over a growing number of backend servers.
std::vector<slope_result>
MeasureChoice();

/// Events, updates and lookups in a map with a growing number of entries.
std::vector<slope_result>
MeasureBlockMap();

/// A request's way through a fair queue with a growing number of workspaces.
std::vector<slope_result>
MeasureFairQueue();

}
