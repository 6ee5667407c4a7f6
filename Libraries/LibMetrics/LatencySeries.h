#pragma once

#include <LibMetrics/LatencyKind.h>
#include <LibMetrics/LatencyScope.h>

#include <compare>
#include <string>

namespace lycheeseam {

/// Names one latency series. A sample counts once for its pool and once for
/// its workspace, not for the pair, so the number of series grows with the sum
/// of pools and workspaces rather than their product.
struct latency_series
{
  latency_kind mKind = latency_kind::FirstToken;
  latency_scope mScope = latency_scope::Pool;
  std::string mName;

  auto operator<=>(latency_series const&) const = default;
};

}
