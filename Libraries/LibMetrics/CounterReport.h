#pragma once

#include <LibMetrics/CounterSeries.h>

#include <cstdint>

namespace lycheeseam {

/// A counter's total since the start, with its rate per second over the last
/// event_rate::kWindowTicks seconds.
struct counter_report
{
  counter_series mSeries;
  std::uint64_t mTotal = 0;
  double mPerSecond = 0;
};

}
