#pragma once

#include <cstddef>
#include <string>

namespace lycheeseam::bench {

/// What one operation costs at one size.
struct slope_result
{
  std::string mOperation;
  /// What the size counts, such as "entries".
  std::string mUnit;
  std::size_t mSize = 0;
  /// Processor time of one operation.
  double mNanoseconds = 0;
  /// Memory held at that size.
  double mBytes = 0;
};

}
