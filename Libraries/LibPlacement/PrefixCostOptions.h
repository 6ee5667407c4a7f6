#pragma once

#include <LibCore/Instant.h>

#include <chrono>

namespace lycheeseam {

/// What prefix_cost_policy takes for granted of a pool's engines.
struct prefix_cost_options
{
  /// Prompt tokens that an engine computes in a second.
  double mPrefillRate = 8000.0;
  /// Tokens that an engine imports from the KV store in a second.
  double mImportRate = 40000.0;
  /// What an import costs before its first token.
  duration mImportLatency = std::chrono::milliseconds{ 20 };
  /// What each running answer adds to the wait of a new one.
  duration mCostPerRunning = std::chrono::milliseconds{ 1 };
  /// The way to another failure domain and back.
  duration mDistance = std::chrono::milliseconds{ 3 };
  /// What computing costs those who wait behind, as a part of its own time.
  double mComputeWeight = 1.0;
};

}
