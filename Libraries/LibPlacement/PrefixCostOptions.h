#pragma once

#include <LibCore/Instant.h>

#include <chrono>

namespace lycheeseam {

/// The rates and costs that prefix_cost_policy assumes for a pool's engines.
struct prefix_cost_options
{
  /// The prompt tokens that an engine computes per second.
  double mPrefillRate = 8000.0;
  /// The tokens that an engine imports from the KV store per second.
  double mImportRate = 40000.0;
  /// The time from the start of an import to its first token.
  duration mImportLatency = std::chrono::milliseconds{ 20 };
  /// The time that each running request adds to the wait of a new one.
  duration mDelayPerRunning = std::chrono::milliseconds{ 1 };
  /// The round-trip time to another failure domain.
  duration mDomainRoundTrip = std::chrono::milliseconds{ 3 };
  /// The cost of computing to the requests queued behind, as a fraction of the
  /// computing time.
  double mComputeWeight = 1.0;
};

}
