#pragma once

#include <cstddef>

namespace lycheeseam {

/// A counter opened at one recorder; valid there for the recorder's life.
struct counter_handle
{
  std::size_t mIndex = 0;
};

}
