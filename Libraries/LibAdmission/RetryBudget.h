#pragma once

#include <LibAdmission/RetryBudgetOptions.h>
#include <LibCore/Instant.h>

#include <algorithm>
#include <chrono>

namespace lycheeseam {

/// Keeps a pool's retries to a part of its traffic, so that a sick pool isn't
/// drowned by them.
class retry_budget
{
public:
  explicit retry_budget(retry_budget_options aOptions = {})
    : mOptions(aOptions)
    , mSaved(aOptions.mMaxSaved)
  {
  }

  /// Takes other bounds; what was saved stays as far as they allow.
  void SetOptions(retry_budget_options aOptions)
  {
    mOptions = aOptions;
    mSaved = std::min(mSaved, mOptions.mMaxSaved);
  }

  /// A first attempt is sent.
  void OnRequest()
  {
    mSaved = std::min(mSaved + mOptions.mRetriesPerRequest, mOptions.mMaxSaved);
  }

  /// Time passes; some budgets also earn by it.
  void OnTime(instant aNow)
  {
    double const seconds =
      std::chrono::duration<double>(aNow - mEarnedAt).count();
    mEarnedAt = aNow;
    mSaved = std::min(mSaved + seconds * mOptions.mRetriesPerSecond,
                      mOptions.mMaxSaved);
  }

  /// Spends one retry; false when the budget is used up.
  [[nodiscard]] bool TrySpend()
  {
    if (mSaved < 1.0)
      return false;
    mSaved -= 1.0;
    return true;
  }

private:
  retry_budget_options mOptions;
  double mSaved;
  instant mEarnedAt{};
};

}
