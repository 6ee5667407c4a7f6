#pragma once

#include <vector>

namespace lycheeseam::bench {

/// The percentile of aValues at aPart, from 0 to 1; 0 if there are no values.
double
Percentile(std::vector<double> aValues, double aPart);

}
