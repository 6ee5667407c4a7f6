#pragma once

#include <Bench/Peers/Measurement.h>

#include <span>
#include <string>

namespace lycheeseam::bench {

/// Formats the measurements as a table of text.
std::string
FormatTable(std::span<measurement const> aMeasurements);

/// Formats the measurements as a JSON list for scripts.
std::string
FormatJson(std::span<measurement const> aMeasurements);

}
