#pragma once

#include <cstdint>

namespace lycheeseam {

/// The range of integers that a setting allows, both ends included.
struct number_range
{
  std::uint64_t mLeast = 0;
  std::uint64_t mMost = 0;
};

}
