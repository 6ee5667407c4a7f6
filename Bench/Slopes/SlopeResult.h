#pragma once

#include <cstddef>
#include <string>

namespace lycheeseam::bench {

/// The cost of one operation at one size.
struct slope_result
{
  std::string mOperation;
  /// The unit of mSize, such as "entries".
  std::string mUnit;
  std::size_t mSize = 0;
  /// Processor time of one operation, in nanoseconds.
  double mNanoseconds = 0;
  /// Memory used at that size, in bytes.
  double mBytes = 0;
};

}
