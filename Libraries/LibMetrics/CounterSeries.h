#pragma once

#include <compare>
#include <string>

namespace lycheeseam {

/// Names one counter, gauge or histogram: a metric with at most two labels.
struct counter_series
{
  /// The Prometheus name without the common prefix, such as "requests_total".
  std::string mMetric;
  /// The label's name; empty when the series has no label.
  std::string mLabel;
  std::string mLabelValue;
  /// Empty when the series has no second label.
  std::string mSecondLabel;
  std::string mSecondLabelValue;

  auto operator<=>(counter_series const&) const = default;
};

}
