#pragma once

#include <algorithm>
#include <iterator>
#include <span>
#include <vector>

namespace lycheeseam {

/// Converts each item of a list.
template<typename To, typename From, typename Conversion>
std::vector<To>
ConvertEach(std::span<From const> aItems, Conversion aConversion)
{
  std::vector<To> converted;
  converted.reserve(aItems.size());
  std::transform(
    aItems.begin(), aItems.end(), std::back_inserter(converted), aConversion);
  return converted;
}

}
