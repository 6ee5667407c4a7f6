#pragma once

#include <Bench/Peers/Measurement.h>

#include <vector>

namespace lycheeseam::bench {

/// Bytes of a heartbeat by failure domains, and processor time of a heartbeat
/// over real links by links of one process.
std::vector<measurement>
MeasureLinks();

}
