#include <LibDispatch/QuotaLedger.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace lycheeseam {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration kWindow = seconds{ 8 };

dispatch_workspace const kWorkspace{ .mName = workspace_id{ "w" },
                                     .mRate = 100,
                                     .mBurst = 200 };
// Rate over the window and burst.
constexpr double kLimit = 1'000;

instant
At(duration aSpan)
{
  return instant{} + seconds{ 100 } + aSpan;
}

fleet_view
View(std::uint32_t aInstances, std::uint32_t aSilent)
{
  return { .mConfig = std::make_shared<dispatch_config const>(
             1,
             std::vector<dispatch_route>{},
             std::vector<dispatch_pool>{},
             std::vector<dispatch_workspace>{ kWorkspace },
             caller_limits{}),
           .mInstances = aInstances,
           .mSilentInstances = aSilent };
}

// A ledger that has counted for a whole window.
quota_ledger
SettledLedger(fleet_view const& aView)
{
  quota_ledger ledger{ { .mWindow = kWindow } };
  ledger.Apply(At({}) - 2 * kWindow, aView);
  return ledger;
}

double
ChargeAll(quota_ledger& aLedger, instant aNow)
{
  double charged = 0;
  while (aLedger.TryCharge(aNow, kWorkspace, 10))
    charged += 10;
  return charged;
}

TEST(TestQuotaLedger, AWindowHoldsRateAndBurst)
{
  quota_ledger ledger = SettledLedger(View(1, 0));
  EXPECT_EQ(ChargeAll(ledger, At({})), kLimit);
  EXPECT_EQ(ChargeAll(ledger, At(kWindow / 2)), 0);
  EXPECT_GT(ledger.WaitFor(At(kWindow / 2), kWorkspace, 10), duration{});
  EXPECT_EQ(ChargeAll(ledger, At(kWindow + seconds{ 1 })), kLimit);
}

TEST(TestQuotaLedger, OthersAdmissionsCount)
{
  fleet_view view = View(2, 0);
  quota_ledger ledger = SettledLedger(view);
  view.mSpentElsewhere = { { kWorkspace.mName, 700 } };
  ledger.Apply(At({}), view);
  EXPECT_EQ(ChargeAll(ledger, At({})), kLimit - 700);
}

TEST(TestQuotaLedger, SilentInstancesKeepTheirShare)
{
  quota_ledger ledger = SettledLedger(View(4, 3));
  EXPECT_EQ(ChargeAll(ledger, At({})), kLimit / 4);
}

TEST(TestQuotaLedger, ARefusedRequestIsGivenBack)
{
  quota_ledger ledger = SettledLedger(View(1, 0));
  ASSERT_TRUE(ledger.TryCharge(At({}), kWorkspace, kLimit));
  EXPECT_FALSE(ledger.TryCharge(At({}), kWorkspace, 1));
  ledger.Refund(At({}), kWorkspace.mName, kLimit);
  EXPECT_TRUE(ledger.TryCharge(At({}), kWorkspace, kLimit));
}

// Found on trouble-3: after all instances were killed at once, a second burst
// was admitted within one window.
TEST(TestQuotaLedger, ARestartDoesNotRenewTheBurst)
{
  quota_ledger ledger{ { .mWindow = kWindow } };
  ledger.Apply(At({}), View(1, 0));
  double charged = 0;
  for (duration at{}; at < kWindow; at += milliseconds{ 100 })
    charged += ChargeAll(ledger, At(at));
  EXPECT_LE(charged, kLimit);
  // The rate itself stays open.
  EXPECT_GE(charged, kWorkspace.mRate * 7);
}

TEST(TestQuotaLedger, PeersTellARestartedInstanceWhatWasAdmitted)
{
  quota_ledger ledger{ { .mWindow = kWindow } };
  fleet_view view = View(2, 0);
  ledger.Apply(At({}), view);
  EXPECT_EQ(ChargeAll(ledger, At({})), 0);
  view.mUsedElsewhere = { { kWorkspace.mName, 400 } };
  ledger.Apply(At(milliseconds{ 100 }), view);
  EXPECT_NEAR(ChargeAll(ledger, At(milliseconds{ 100 })), kLimit - 400, 10);
}

// What a fleet admits in 20 s while it is asked for five times the rate and
// hears of itself every 0.4 s.
class quota_fleet
{
public:
  static constexpr int kInstances = 40;
  static constexpr milliseconds kDelay{ 400 };

  explicit quota_fleet(std::uint32_t aSeed)
    : mTold(kInstances)
    , mView(View(kInstances, 0))
  {
    mView.mReportDelay = kDelay;
    for (std::uint32_t index = 0; index < kInstances; ++index) {
      mLedgers.emplace_back(quota_terms{
        .mWindow = kWindow, .mOvershoot = 0.05, .mSeed = aSeed + index });
      mLedgers.back().Apply(At({}) - 2 * kWindow, mView);
    }
  }

  // Returns the most and the last that a window held.
  std::pair<double, double> Run(double aAskedASecond)
  {
    constexpr milliseconds kStep{ 10 };
    constexpr double kUnits = 2;
    double due = 0;
    int next = 0;
    double most = 0;
    for (duration at{}; at < seconds{ 20 }; at += kStep) {
      due += aAskedASecond * 0.01;
      for (; due >= kUnits; due -= kUnits) {
        next = (next + 17) % kInstances;
        if (mLedgers[next].TryCharge(At(at), kWorkspace, kUnits))
          mAll.Add(At(at), kUnits);
      }
      if (at % kDelay == duration{})
        Tell(At(at));
      most = std::max(most, mAll.Sum(At(at)));
    }
    return { most, mAll.Sum(At(seconds{ 20 })) };
  }

private:
  void Tell(instant aNow)
  {
    spent_units all{ .mWorkspace = kWorkspace.mName };
    for (int index = 0; index < kInstances; ++index) {
      mTold[index] = mLedgers[index].Spent().empty()
                       ? spent_units{}
                       : mLedgers[index].Spent().front();
      all.mUnits += mTold[index].mUnits;
      all.mAsked += mTold[index].mAsked;
    }
    for (int index = 0; index < kInstances; ++index) {
      mView.mSpentElsewhere = { { kWorkspace.mName,
                                  all.mUnits - mTold[index].mUnits,
                                  all.mAsked - mTold[index].mAsked } };
      mLedgers[index].Apply(aNow, mView);
    }
  }

  std::vector<quota_ledger> mLedgers;
  std::vector<spent_units> mTold;
  fleet_view mView;
  quota_window mAll{ kWindow };
};

// Found on a grown site's day: 80 instances that all saw room in a window at
// the same moment filled it several times over before they heard of it.
TEST(TestQuotaLedger, AFleetThatHearsLateKeepsToTheLimitAndFillsIt)
{
  for (std::uint32_t seed = 1; seed <= 100; ++seed) {
    auto const [most, last] =
      quota_fleet{ seed * 1'000 }.Run(5 * kWorkspace.mRate);
    EXPECT_LE(most, 1.1 * kLimit) << "seed " << seed;
    EXPECT_GE(last, 0.9 * kLimit) << "seed " << seed;
  }
}

TEST(TestQuotaLedger, AFleetThatIsAskedForLessThanTheRateRefusesNothing)
{
  constexpr double kAsked = 0.9 * 100;
  auto const [most, last] = quota_fleet{ 1 }.Run(kAsked);
  EXPECT_NEAR(last, kAsked * 8, 0.05 * kLimit);
}

TEST(TestQuotaLedger, NoLimitIsNoLimit)
{
  quota_ledger ledger{ { .mWindow = kWindow } };
  EXPECT_TRUE(ledger.TryCharge(
    At({}), { .mName = workspace_id{ "free" } }, 1'000'000'000));
}

}

}
