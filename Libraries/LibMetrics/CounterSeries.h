#pragma once

#include <compare>
#include <string>

namespace lycheeseam {

/// Names one counter or gauge: a metric with at most one label.
struct counter_series
{
  /// In Prometheus's form without the common prefix: "requests_total".
  std::string mMetric;
  /// The label's name; empty for no label.
  std::string mLabel;
  std::string mLabelValue;

  auto operator<=>(counter_series const&) const = default;
};

}
