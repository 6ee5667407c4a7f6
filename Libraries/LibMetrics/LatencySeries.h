#pragma once

#include <LibMetrics/LatencyKind.h>
#include <LibMetrics/LatencyScope.h>

#include <compare>
#include <string>

namespace lycheeseam {

/// Names one latency series. Samples count by pool and by workspace, not by
/// each pair of them, so the number of series stays the sum of the two.
struct latency_series
{
  latency_kind mKind = latency_kind::FirstToken;
  latency_scope mScope = latency_scope::Pool;
  std::string mName;

  auto operator<=>(latency_series const&) const = default;
};

}
