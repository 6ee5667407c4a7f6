#pragma once

#include <LibCore/Instant.h>
#include <LibLimits/ChargePart.h>

#include <vector>

namespace lycheeseam {

/// The unspent loans of one workspace at a borrowing instance.
class loan_balance
{
public:
  /// Adds a loan that may be spent before aExpiresAt.
  void Add(charge_part const& aLoan, instant aExpiresAt);

  /// Drops the expired loans with their unspent tokens.
  void Expire(instant aNow);

  /// Spends tokens of the loans in the order of their expiry. Available must
  /// cover them.
  std::vector<charge_part> Take(token_count aTokens);

  /// The tokens that can be spent as of the last Expire.
  [[nodiscard]] token_count Available() const noexcept { return mAvailable; }

private:
  struct held_loan
  {
    /// The loan with its unspent tokens.
    charge_part mLeft;
    instant mExpiresAt;
  };

  /// Ordered by expiry.
  std::vector<held_loan> mLoans;
  token_count mAvailable = 0;
};

}
