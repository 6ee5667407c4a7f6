#pragma once

#include <LibMetrics/MetricsReport.h>

#include <string>

namespace lycheeseam {

/// Encodes a report in Prometheus's text format, version 0.0.4. Every metric
/// has the prefix "lycheeseam_"; latencies are summaries in seconds.
std::string
EncodePrometheus(metrics_report const& aReport);

}
