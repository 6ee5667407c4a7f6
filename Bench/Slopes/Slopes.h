#pragma once

#include <Bench/Slopes/SlopeResult.h>

#include <vector>

namespace lycheeseam::bench {

/// Measures the prefix-cost policy's choice with a growing number of backend
/// servers.
std::vector<slope_result>
MeasureChoice();

/// Measures events, updates and lookups in a block map with a growing number of
/// entries.
std::vector<slope_result>
MeasureBlockMap();

/// Measures enqueuing and admitting a request in a fair queue with a growing
/// number of workspaces.
std::vector<slope_result>
MeasureFairQueue();

}
