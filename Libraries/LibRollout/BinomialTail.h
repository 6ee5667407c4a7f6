#pragma once

namespace lycheeseam {

/// An upper bound of the probability that of some independent events, the mean
/// number of which is given, aCount or more occur; 1 if aCount is not above the
/// mean. It is close where the events are likely.
double
BinomialTail(double aMean, double aEvents, double aCount);

}
