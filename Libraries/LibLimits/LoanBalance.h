#pragma once

#include <LibCore/Instant.h>
#include <LibLimits/ChargePart.h>

#include <vector>

namespace lycheeseam {

/// The borrowed tokens of one workspace at this instance.
class loan_balance
{
public:
  /// Adds a loan that may be spent before aLapsesAt.
  void Add(charge_part const& aLoan, instant aLapsesAt);

  /// Drops the loans that have lapsed; their tokens are gone.
  void Expire(instant aNow);

  /// Spends tokens, those that lapse first before others. Available must
  /// cover them.
  std::vector<charge_part> Take(token_count aTokens);

  /// Tokens that can be spent, as of the last Expire.
  [[nodiscard]] token_count Available() const noexcept { return mAvailable; }

private:
  struct held_loan
  {
    charge_part mLeft;
    instant mLapsesAt;
  };

  /// In the order in which they lapse.
  std::vector<held_loan> mLoans;
  token_count mAvailable = 0;
};

}
