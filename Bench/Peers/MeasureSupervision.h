#pragma once

#include <Bench/Peers/Measurement.h>

#include <vector>

namespace lycheeseam::bench {

/// Compares the supervision of quiet links with fixed heartbeats, in virtual
/// time: the frames sent only for supervision, and the time until a crashed
/// peer is detected.
std::vector<measurement>
MeasureSupervision();

}
