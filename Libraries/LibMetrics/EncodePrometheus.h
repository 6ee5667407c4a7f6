#pragma once

#include <LibMetrics/MetricsReport.h>

#include <string>

namespace lycheeseam {

/// Encodes a report in Prometheus's text format, version 0.0.4. Every metric
/// has the prefix "lycheeseam_"; each counter also has a gauge with the suffix
/// "_per_second"; latencies are summaries in seconds.
std::string
EncodePrometheus(metrics_report const& aReport);

}
