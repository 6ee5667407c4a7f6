#pragma once

#include <Bench/Peers/Measurement.h>

#include <vector>

namespace lycheeseam::bench {

/// Measures the bytes and the processor time of the configuration's snapshot,
/// of a change and of its relay, by the share of the rows of a fleet of 330
/// instances.
std::vector<measurement>
MeasureSnapshot();

}
