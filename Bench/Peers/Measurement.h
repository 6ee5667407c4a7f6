#pragma once

#include <cstddef>
#include <string>

namespace lycheeseam::bench {

/// One figure that the benchmark gave.
struct measurement
{
  /// What was measured.
  std::string mName;
  /// What mSize counts.
  std::string mSizeOf;
  std::size_t mSize = 0;
  double mValue = 0;
  std::string mUnit;
};

}
