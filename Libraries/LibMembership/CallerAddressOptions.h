#pragma once

#include <cstddef>

namespace lycheeseam {

/// How many addresses an answer to a caller contains.
struct caller_address_options
{
  /// The most addresses in one answer.
  std::size_t mMaxAddresses = 8;
  /// The minimum number of addresses outside of the caller's own failure
  /// domain, as far as there are any, so that the caller still has some when
  /// its domain fails.
  std::size_t mMinOtherDomains = 2;
};

}
