#pragma once

#include <cstddef>

namespace lycheeseam {

/// What an answer about addresses holds.
struct caller_address_options
{
  /// The most addresses in one answer.
  std::size_t mMaxAddresses = 8;
  /// The least number outside of the caller's own failure domain, when there
  /// are any, so that the caller is left with some when its domain fails.
  std::size_t mMinOtherDomains = 2;
};

}
