#pragma once

#include <Bench/Peers/Measurement.h>

#include <vector>

namespace lycheeseam::bench {

/// Measures how a log entry propagates over the links between instances, in
/// virtual time.
std::vector<measurement>
MeasurePropagation();

}
