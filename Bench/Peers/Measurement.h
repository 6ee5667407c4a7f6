#pragma once

#include <cstddef>
#include <string>

namespace lycheeseam::bench {

/// One result of the benchmark.
struct measurement
{
  /// What was measured.
  std::string mName;
  /// The unit of mSize.
  std::string mSizeOf;
  std::size_t mSize = 0;
  double mValue = 0;
  std::string mUnit;
};

}
