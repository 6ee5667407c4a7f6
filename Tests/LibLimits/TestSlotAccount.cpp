#include <LibLimits/SlotAccount.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace lycheeseam {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

instant const kStart{ seconds{ 50 } };
constexpr slot_share kShare{ .mFleetRate = 800,
                             .mBurst = 100,
                             .mSlotCount = 8 };
constexpr duration kLoanExpiry = seconds{ 2 };

TEST(TestSlotAccount, AccruesItsShareUpToItsBurst)
{
  slot_account account{ kShare, kStart, kLoanExpiry };
  account.Advance(kStart + milliseconds{ 505 });
  EXPECT_EQ(account.Balance(), 50);
  account.Advance(kStart + seconds{ 100 });
  EXPECT_EQ(account.Balance(), 100);
}

TEST(TestSlotAccount, CountsALoanUntilItExpires)
{
  slot_account account{ kShare, kStart, kLoanExpiry };
  instant const full = kStart + seconds{ 10 };
  account.Advance(full);
  account.Lend(full, 100);
  account.Advance(full + milliseconds{ 1900 });
  EXPECT_EQ(account.Balance(), 0);
  account.Advance(full + milliseconds{ 2500 });
  EXPECT_EQ(account.Balance(), 50);
}

TEST(TestSlotAccount, SpentTokensOfALoanStopCountingAtOnce)
{
  slot_account account{ kShare, kStart, kLoanExpiry };
  instant const full = kStart + seconds{ 10 };
  account.Advance(full);
  loan_id const loan = account.Lend(full, 100);
  account.MarkSpent(full, loan, 60);
  account.MarkSpent(full, loan, 60);
  account.Advance(full + seconds{ 1 });
  EXPECT_EQ(account.Balance(), 100);
  EXPECT_EQ(account.Outstanding(), 0);
}

TEST(TestSlotAccount, RefundsOnlyUpToTheBurst)
{
  slot_account account{ kShare, kStart, kLoanExpiry };
  instant const full = kStart + seconds{ 10 };
  account.Advance(full);
  account.Lend(full, 30);
  EXPECT_EQ(account.Refund(full, 10), 0);
}

TEST(TestSlotAccount, NewLimitsAddNoTokens)
{
  slot_account account{ kShare, kStart, kLoanExpiry };
  instant const full = kStart + seconds{ 10 };
  account.SetShare(full, { .mFleetRate = 800, .mBurst = 500, .mSlotCount = 8 });
  EXPECT_EQ(account.Balance(), 100);
  account.SetShare(full, { .mFleetRate = 800, .mBurst = 40, .mSlotCount = 8 });
  EXPECT_EQ(account.Balance(), 40);
}

TEST(TestSlotAccount, BalanceAndLoansNeverExceedTheBurst)
{
  EXPECT_TRUE(rc::check([]() {
    slot_account account{ kShare, kStart, kLoanExpiry };
    instant now = kStart;
    std::vector<loan_id> loans;
    int const steps = *rc::gen::inRange(1, 60);
    for (int i = 0; i < steps; ++i) {
      now += milliseconds{ *rc::gen::inRange(0, 1500) };
      account.Advance(now);
      int const action = *rc::gen::inRange(0, 3);
      token_count const tokens = *rc::gen::inRange<token_count>(1, 120);
      if (action == 0 && tokens <= account.Balance())
        loans.push_back(account.Lend(now, tokens));
      if (action == 1)
        account.Refund(now, tokens);
      if (action == 2 && !loans.empty())
        account.MarkSpent(now, loans.back(), tokens);
      RC_ASSERT(account.Balance() >= 0);
      RC_ASSERT(account.Outstanding() >= 0);
      RC_ASSERT(account.Balance() + account.Outstanding() <= kShare.mBurst);
    }
  }));
}

}
}
