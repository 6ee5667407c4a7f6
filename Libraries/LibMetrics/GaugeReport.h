#pragma once

#include <LibMetrics/CounterSeries.h>

namespace lycheeseam {

/// The current value of a gauge.
struct gauge_report
{
  counter_series mSeries;
  double mValue = 0;
};

}
