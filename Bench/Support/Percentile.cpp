#include <Bench/Support/Percentile.h>

#include <algorithm>
#include <cstddef>

namespace lycheeseam::bench {

double
Percentile(std::vector<double> aValues, double aPart)
{
  if (aValues.empty())
    return 0;
  std::size_t const rank =
    static_cast<std::size_t>(aPart * static_cast<double>(aValues.size() - 1));
  std::ranges::nth_element(aValues,
                           aValues.begin() + static_cast<std::ptrdiff_t>(rank));
  return aValues[rank];
}

}
