#pragma once

#include <LibCore/Instant.h>
#include <LibLimits/LoanId.h>
#include <LibLimits/SlotShare.h>

#include <deque>

namespace lycheeseam {

/// One workspace's tokens at one of its home slots.
///
/// The balance and all loans that may still be spent together never exceed
/// the share's burst; see docs/LIMITS.md.
class slot_account
{
public:
  /// Starts empty and accrues from aAccruesFrom on.
  slot_account(slot_share aShare, instant aAccruesFrom, duration aHomeLapse);

  /// Puts new limits in force; makes no tokens.
  void SetShare(instant aNow, slot_share aShare);

  /// Brings accrual and lapsed loans up to date.
  void Advance(instant aNow);

  /// Deducts a loan; the balance must cover it.
  loan_id Lend(instant aNow, token_count aTokens);

  /// A borrower has spent this much of a loan: it no longer counts here.
  void MarkSpent(instant aNow, loan_id aLoan, token_count aTokens);

  /// Takes back charged tokens that were not used, as far as the burst allows;
  /// returns how many were taken.
  token_count Refund(instant aNow, token_count aTokens);

  /// Tokens that can be lent, as of the last Advance.
  [[nodiscard]] token_count Balance() const noexcept { return mBalance; }

  /// Loans that may still be spent, as of the last Advance.
  [[nodiscard]] token_count Outstanding() const noexcept
  {
    return mOutstanding;
  }

  [[nodiscard]] slot_share const& Share() const noexcept { return mShare; }

  /// How long the share's rate takes to accrue so many tokens.
  [[nodiscard]] duration AccrualTime(token_count aTokens) const;

private:
  struct open_loan
  {
    loan_id mId;
    token_count mUnspent = 0;
    instant mLapsesAt;
  };

  [[nodiscard]] token_count Room() const noexcept;
  void AccrueUntil(instant aNow);

  slot_share mShare;
  duration mHomeLapse;
  instant mAccruedAt;
  token_count mBalance = 0;
  token_count mOutstanding = 0;
  /// What accrual left below one token, in token * microseconds * homes.
  token_count mFraction = 0;
  loan_id mLastLoan;
  /// In the order in which they lapse.
  std::deque<open_loan> mLoans;
};

}
