#pragma once

#include <Bench/Peers/Measurement.h>

#include <vector>

namespace lycheeseam::bench {

/// Measures the bytes of a heartbeat by the number of failure domains, and its
/// processor time over TCP links by the number of links of one process.
std::vector<measurement>
MeasureLinks();

}
