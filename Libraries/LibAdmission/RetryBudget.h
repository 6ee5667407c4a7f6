#pragma once

#include <LibAdmission/RetryBudgetOptions.h>
#include <LibCore/Instant.h>

#include <algorithm>
#include <chrono>

namespace lycheeseam {

/// Limits a pool's retries to a part of its traffic, so that retries don't
/// overload a failing pool.
class retry_budget
{
public:
  explicit retry_budget(retry_budget_options aOptions = {})
    : mOptions(aOptions)
    , mAvailable(aOptions.mMaxAvailable)
  {
  }

  /// Changes the options; the retries saved up are kept up to the new limit.
  void SetOptions(retry_budget_options aOptions)
  {
    mOptions = aOptions;
    mAvailable = std::min(mAvailable, mOptions.mMaxAvailable);
  }

  /// Earns a part of a retry for a first attempt.
  void OnRequest()
  {
    mAvailable = std::min(mAvailable + mOptions.mRetriesPerRequest,
                          mOptions.mMaxAvailable);
  }

  /// Earns mRetriesPerSecond of the options for the time since the last call.
  void Refill(instant aNow)
  {
    double const seconds =
      std::chrono::duration<double>(aNow - mRefilledAt).count();
    mRefilledAt = aNow;
    mAvailable = std::min(mAvailable + seconds * mOptions.mRetriesPerSecond,
                          mOptions.mMaxAvailable);
  }

  /// Uses one retry; false when the budget is used up.
  [[nodiscard]] bool TrySpend()
  {
    if (mAvailable < 1.0)
      return false;
    mAvailable -= 1.0;
    return true;
  }

private:
  retry_budget_options mOptions;
  double mAvailable;
  instant mRefilledAt{};
};

}
