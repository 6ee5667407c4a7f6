#pragma once

namespace lycheeseam {

/// An upper bound of the probability that a Poisson variable with a mean is
/// aCount or more; 1 if aCount is not above the mean.
double
PoissonTail(double aMean, double aCount);

}
