#pragma once

#include <LibCore/Instant.h>
#include <LibLimits/LoanId.h>
#include <LibLimits/SlotShare.h>

#include <deque>

namespace lycheeseam {

/// One workspace's tokens at one of its slots.
///
/// The balance plus all loans that may still be spent never exceed the share's
/// burst; see docs/LIMITS.md.
class slot_account
{
public:
  /// Starts without tokens and accrues from aAccruesFrom on.
  slot_account(slot_share aShare, instant aAccruesFrom, duration aLoanExpiry);

  /// Applies new limits; adds no tokens.
  void SetShare(instant aNow, slot_share aShare);

  /// Accrues tokens and drops expired loans up to aNow.
  void Advance(instant aNow);

  /// Deducts a loan from the balance, which must cover it.
  loan_id Lend(instant aNow, token_count aTokens);

  /// Stops counting the tokens of a loan that its borrower has spent.
  void MarkSpent(instant aNow, loan_id aLoan, token_count aTokens);

  /// Takes back charged tokens that were not used, as far as the burst allows;
  /// returns how many were taken.
  token_count Refund(instant aNow, token_count aTokens);

  /// The tokens that can be lent as of the last Advance.
  [[nodiscard]] token_count Balance() const noexcept { return mBalance; }

  /// The lent tokens that may still be spent as of the last Advance.
  [[nodiscard]] token_count Outstanding() const noexcept
  {
    return mOutstanding;
  }

  [[nodiscard]] slot_share const& Share() const noexcept { return mShare; }

  /// How long the share's rate takes to accrue aTokens.
  [[nodiscard]] duration AccrualTime(token_count aTokens) const;

private:
  struct open_loan
  {
    loan_id mId;
    token_count mUnspent = 0;
    instant mExpiresAt;
  };

  [[nodiscard]] token_count Headroom() const noexcept;
  void AccrueUntil(instant aNow);

  slot_share mShare;
  duration mLoanExpiry;
  instant mAccruedAt;
  token_count mBalance = 0;
  token_count mOutstanding = 0;
  /// Accrual below one token, in units of 1 / (10^6 * mSlotCount) token.
  token_count mFraction = 0;
  loan_id mLastLoan;
  /// Ordered by expiry.
  std::deque<open_loan> mLoans;
};

}
