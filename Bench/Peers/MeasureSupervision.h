#pragma once

#include <Bench/Peers/Measurement.h>

#include <vector>

namespace lycheeseam::bench {

/// Supervision of quiet links against fixed heartbeats in virtual time: frames
/// for supervision alone, and the time until a dead peer is noticed.
std::vector<measurement>
MeasureSupervision();

}
