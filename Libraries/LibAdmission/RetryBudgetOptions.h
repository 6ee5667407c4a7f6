#pragma once

namespace lycheeseam {

/// Options of a retry_budget.
struct retry_budget_options
{
  /// Retries that each first attempt earns.
  double mRetriesPerRequest = 0.1;
  /// The most retries that can be saved up, which is also the initial budget.
  double mMaxAvailable = 10.0;

  /// Retries earned per second, whatever the traffic.
  double mRetriesPerSecond = 0.0;
};

}
