#include <LibRollout/PoissonTail.h>

#include <algorithm>
#include <cmath>

namespace lycheeseam {

double
PoissonTail(double aMean, double aCount)
{
  if (aCount <= aMean)
    return 1;
  if (aMean <= 0)
    return 0;
  // Each term of the tail is at most mean / (count + 1) times the one before.
  double const first =
    std::exp(aCount * std::log(aMean) - aMean - std::lgamma(aCount + 1));
  return std::min(1.0, first / (1 - aMean / (aCount + 1)));
}

}
