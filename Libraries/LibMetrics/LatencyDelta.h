#pragma once

#include <LibMetrics/LatencySamples.h>
#include <LibMetrics/LatencySeries.h>

namespace lycheeseam {

/// What one thread added to a latency series since its last metrics_delta.
struct latency_delta
{
  latency_series mSeries;
  latency_samples mSamples;
};

}
