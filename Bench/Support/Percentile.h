#pragma once

#include <vector>

namespace lycheeseam::bench {

/// The value that a part of all (from 0 to 1) doesn't exceed; 0 without any.
double
Percentile(std::vector<double> aValues, double aPart);

}
