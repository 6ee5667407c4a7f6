#include <LibCore/Verify.h>
#include <LibLimits/SlotAccount.h>

#include <algorithm>

namespace lycheeseam {

namespace {

constexpr token_count kMicrosecondsPerSecond = 1'000'000;

// Longer gaps accrue no more than this. The product of a time and a rate then
// fits into 64 bits up to a rate of 10^9 tokens per second.
constexpr std::chrono::microseconds kMaxAccrual = std::chrono::hours{ 2 };

}

slot_account::slot_account(slot_share aShare,
                           instant aAccruesFrom,
                           duration aLoanExpiry)
  : mShare(aShare)
  , mLoanExpiry(aLoanExpiry)
  , mAccruedAt(aAccruesFrom)
{
}

void
slot_account::SetShare(instant aNow, slot_share aShare)
{
  Advance(aNow);
  mShare = aShare;
  mFraction = 0;
  mBalance =
    std::min(mBalance, std::max<token_count>(0, Headroom() + mBalance));
}

void
slot_account::Advance(instant aNow)
{
  while (!mLoans.empty() && mLoans.front().mExpiresAt <= aNow) {
    // Until its expiry the loan counts against the burst and limits accrual.
    AccrueUntil(mLoans.front().mExpiresAt);
    mOutstanding -= mLoans.front().mUnspent;
    mLoans.pop_front();
  }
  AccrueUntil(aNow);
}

loan_id
slot_account::Lend(instant aNow, token_count aTokens)
{
  Advance(aNow);
  VERIFY(aTokens > 0 && aTokens <= mBalance);
  mBalance -= aTokens;
  mOutstanding += aTokens;
  mLastLoan = mLastLoan.Next();
  mLoans.push_back({ .mId = mLastLoan,
                     .mUnspent = aTokens,
                     .mExpiresAt = aNow + mLoanExpiry });
  return mLastLoan;
}

void
slot_account::MarkSpent(instant aNow, loan_id aLoan, token_count aTokens)
{
  Advance(aNow);
  auto const byId = [](open_loan const& aOpen, loan_id aId) {
    return aOpen.mId < aId;
  };
  auto const found =
    std::lower_bound(mLoans.begin(), mLoans.end(), aLoan, byId);
  if (found == mLoans.end() || found->mId != aLoan)
    return;
  token_count const spent =
    std::clamp<token_count>(aTokens, 0, found->mUnspent);
  found->mUnspent -= spent;
  mOutstanding -= spent;
}

token_count
slot_account::Refund(instant aNow, token_count aTokens)
{
  Advance(aNow);
  token_count const headroom = std::max<token_count>(0, Headroom());
  token_count const taken = std::clamp<token_count>(aTokens, 0, headroom);
  mBalance += taken;
  return taken;
}

duration
slot_account::AccrualTime(token_count aTokens) const
{
  if (aTokens <= 0)
    return duration::zero();
  if (mShare.mFleetRate <= 0)
    return kMaxAccrual;
  double const seconds = static_cast<double>(aTokens) *
                         static_cast<double>(mShare.mSlotCount) /
                         static_cast<double>(mShare.mFleetRate);
  std::chrono::duration<double> const exact{ seconds };
  if (exact > kMaxAccrual)
    return kMaxAccrual;
  return std::chrono::ceil<std::chrono::microseconds>(exact);
}

token_count
slot_account::Headroom() const noexcept
{
  return mShare.mBurst - mBalance - mOutstanding;
}

void
slot_account::AccrueUntil(instant aNow)
{
  if (aNow <= mAccruedAt)
    return;
  std::chrono::microseconds const elapsed =
    std::chrono::floor<std::chrono::microseconds>(aNow - mAccruedAt);
  mAccruedAt += elapsed;
  token_count const unit = kMicrosecondsPerSecond * mShare.mSlotCount;
  token_count const accrued =
    std::min(elapsed, kMaxAccrual).count() * mShare.mFleetRate + mFraction;
  token_count const headroom = std::max<token_count>(0, Headroom());
  if (accrued / unit >= headroom) {
    mBalance += headroom;
    mFraction = 0;
    return;
  }
  mBalance += accrued / unit;
  mFraction = accrued % unit;
}

}
