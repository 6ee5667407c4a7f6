#pragma once

#include <Bench/Peers/Measurement.h>

#include <span>
#include <string>

namespace lycheeseam::bench {

/// The measurements as a table for readers.
std::string
FormatTable(std::span<measurement const> aMeasurements);

/// The measurements as a JSON list for scripts.
std::string
FormatJson(std::span<measurement const> aMeasurements);

}
