#pragma once

namespace lycheeseam {

/// Bounds of a retry_budget.
struct retry_budget_options
{
  /// Retries earned by each first attempt.
  double mRetriesPerRequest = 0.1;
  /// The most retries that can be saved up; the budget starts with them.
  double mMaxSaved = 10.0;

  /// Retries earned by time alone.
  double mRetriesPerSecond = 0.0;
};

}
