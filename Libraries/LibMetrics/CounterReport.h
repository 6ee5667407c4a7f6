#pragma once

#include <LibMetrics/CounterSeries.h>

#include <cstdint>

namespace lycheeseam {

/// A counter's total with its rate a second over the last seconds.
struct counter_report
{
  counter_series mSeries;
  std::uint64_t mTotal = 0;
  double mPerSecond = 0;
};

}
