#pragma once

#include <LibMetrics/CounterSeries.h>

namespace lycheeseam {

/// A value that goes up and down.
struct gauge_report
{
  counter_series mSeries;
  double mValue = 0;
};

}
