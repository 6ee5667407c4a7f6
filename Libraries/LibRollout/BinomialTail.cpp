#include <LibRollout/BinomialTail.h>

#include <cmath>

namespace lycheeseam {

double
BinomialTail(double aMean, double aEvents, double aCount)
{
  if (aCount <= aMean || aEvents <= 0)
    return 1;
  if (aMean <= 0 || aCount > aEvents)
    return 0;
  // Chernoff's bound. It also holds for events of different probabilities.
  double const rest = aEvents - aCount;
  double exponent = aCount * std::log(aCount / aMean);
  if (rest > 0)
    exponent += rest * std::log(rest / (aEvents - aMean));
  return std::exp(-exponent);
}

}
