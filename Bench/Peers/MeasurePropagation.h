#pragma once

#include <Bench/Peers/Measurement.h>

#include <vector>

namespace lycheeseam::bench {

/// How a log entry spreads over the links between instances, in virtual time.
std::vector<measurement>
MeasurePropagation();

}
