#pragma once

#include <LibMetrics/CounterSeries.h>

#include <cstdint>

namespace lycheeseam {

/// What one thread added to a counter since its last metrics_delta.
struct counter_delta
{
  counter_series mSeries;
  std::uint64_t mAdded = 0;
};

}
