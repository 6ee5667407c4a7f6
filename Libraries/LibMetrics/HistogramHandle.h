#pragma once

#include <cstddef>

namespace lycheeseam {

/// Refers to a histogram of one metrics_recorder; valid as long as the
/// recorder.
struct histogram_handle
{
  std::size_t mIndex = 0;
};

}
