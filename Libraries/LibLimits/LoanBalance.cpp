#include <LibCore/Verify.h>
#include <LibLimits/LoanBalance.h>

#include <algorithm>

namespace lycheeseam {

void
loan_balance::Add(charge_part const& aLoan, instant aExpiresAt)
{
  auto const byExpiry = [](instant aAt, held_loan const& aHeld) {
    return aAt < aHeld.mExpiresAt;
  };
  auto const position =
    std::upper_bound(mLoans.begin(), mLoans.end(), aExpiresAt, byExpiry);
  mLoans.insert(position, { .mLeft = aLoan, .mExpiresAt = aExpiresAt });
  mAvailable += aLoan.mTokens;
}

void
loan_balance::Expire(instant aNow)
{
  auto const isUsable = [aNow](held_loan const& aHeld) {
    return aNow < aHeld.mExpiresAt;
  };
  auto const firstUsable = std::ranges::find_if(mLoans, isUsable);
  for (auto loan = mLoans.begin(); loan != firstUsable; ++loan)
    mAvailable -= loan->mLeft.mTokens;
  mLoans.erase(mLoans.begin(), firstUsable);
}

std::vector<charge_part>
loan_balance::Take(token_count aTokens)
{
  VERIFY(aTokens <= mAvailable);
  mAvailable -= aTokens;
  std::vector<charge_part> parts;
  while (aTokens > 0) {
    charge_part& loan = mLoans.front().mLeft;
    charge_part part = loan;
    part.mTokens = std::min(aTokens, loan.mTokens);
    loan.mTokens -= part.mTokens;
    aTokens -= part.mTokens;
    if (loan.mTokens == 0)
      mLoans.erase(mLoans.begin());
    parts.push_back(part);
  }
  return parts;
}

}
