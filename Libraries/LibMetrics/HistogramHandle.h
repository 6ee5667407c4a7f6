#pragma once

#include <cstddef>

namespace lycheeseam {

/// A histogram opened at one recorder; valid there for the recorder's life.
struct histogram_handle
{
  std::size_t mIndex = 0;
};

}
