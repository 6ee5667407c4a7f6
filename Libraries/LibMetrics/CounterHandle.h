#pragma once

#include <cstddef>

namespace lycheeseam {

/// Refers to a counter of one metrics_recorder; valid as long as the recorder.
struct counter_handle
{
  std::size_t mIndex = 0;
};

}
