#include <LibDispatch/QuotaLimiter.h>

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
           .mUnresponsiveInstances = aSilent };
}

// A limiter that has counted for a whole window.
quota_limiter
SettledLimiter(fleet_view const& aView)
{
  quota_limiter limiter{ { .mWindow = kWindow } };
  limiter.Apply(At({}) - 2 * kWindow, aView);
  return limiter;
}

double
ChargeAll(quota_limiter& aLimiter, instant aNow)
{
  double charged = 0;
  while (aLimiter.TryCharge(aNow, kWorkspace, 10))
    charged += 10;
  return charged;
}

TEST(TestQuotaLimiter, AWindowHoldsRateAndBurst)
{
  quota_limiter limiter = SettledLimiter(View(1, 0));
  EXPECT_EQ(ChargeAll(limiter, At({})), kLimit);
  EXPECT_EQ(ChargeAll(limiter, At(kWindow / 2)), 0);
  EXPECT_GT(limiter.WaitFor(At(kWindow / 2), kWorkspace, 10), duration{});
  EXPECT_EQ(ChargeAll(limiter, At(kWindow + seconds{ 1 })), kLimit);
}

TEST(TestQuotaLimiter, OthersAdmissionsCount)
{
  fleet_view view = View(2, 0);
  quota_limiter limiter = SettledLimiter(view);
  view.mSpentElsewhere = { { kWorkspace.mName, 700 } };
  limiter.Apply(At({}), view);
  EXPECT_EQ(ChargeAll(limiter, At({})), kLimit - 700);
}

TEST(TestQuotaLimiter, SilentInstancesKeepTheirShare)
{
  quota_limiter limiter = SettledLimiter(View(4, 3));
  EXPECT_EQ(ChargeAll(limiter, At({})), kLimit / 4);
}

TEST(TestQuotaLimiter, ARefusedRequestIsGivenBack)
{
  quota_limiter limiter = SettledLimiter(View(1, 0));
  ASSERT_TRUE(limiter.TryCharge(At({}), kWorkspace, kLimit));
  EXPECT_FALSE(limiter.TryCharge(At({}), kWorkspace, 1));
  limiter.Refund(At({}), kWorkspace.mName, kLimit);
  EXPECT_TRUE(limiter.TryCharge(At({}), kWorkspace, kLimit));
}

// Found on trouble-3: after all instances were killed at once, a second burst
// was admitted within one window.
TEST(TestQuotaLimiter, ARestartDoesNotRenewTheBurst)
{
  quota_limiter limiter{ { .mWindow = kWindow } };
  limiter.Apply(At({}), View(1, 0));
  double charged = 0;
  for (duration at{}; at < kWindow; at += milliseconds{ 100 })
    charged += ChargeAll(limiter, At(at));
  EXPECT_LE(charged, kLimit);
  // The rate itself stays open.
  EXPECT_GE(charged, kWorkspace.mRate * 7);
}

TEST(TestQuotaLimiter, PeersTellARestartedInstanceWhatWasAdmitted)
{
  quota_limiter limiter{ { .mWindow = kWindow } };
  fleet_view view = View(2, 0);
  limiter.Apply(At({}), view);
  EXPECT_EQ(ChargeAll(limiter, At({})), 0);
  view.mUsedElsewhere = { { kWorkspace.mName, 400 } };
  limiter.Apply(At(milliseconds{ 100 }), view);
  EXPECT_NEAR(ChargeAll(limiter, At(milliseconds{ 100 })), kLimit - 400, 10);
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
      mLimiters.emplace_back(quota_parameters{
        .mWindow = kWindow, .mOvershoot = 0.05, .mSeed = aSeed + index });
      mLimiters.back().Apply(At({}) - 2 * kWindow, mView);
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
        if (mLimiters[next].TryCharge(At(at), kWorkspace, kUnits))
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
    workspace_usage all{ .mWorkspace = kWorkspace.mName };
    for (int index = 0; index < kInstances; ++index) {
      mTold[index] = mLimiters[index].Spent().empty()
                       ? workspace_usage{}
                       : mLimiters[index].Spent().front();
      all.mUnits += mTold[index].mUnits;
      all.mDemand += mTold[index].mDemand;
    }
    for (int index = 0; index < kInstances; ++index) {
      mView.mSpentElsewhere = { { kWorkspace.mName,
                                  all.mUnits - mTold[index].mUnits,
                                  all.mDemand - mTold[index].mDemand } };
      mLimiters[index].Apply(aNow, mView);
    }
  }

  std::vector<quota_limiter> mLimiters;
  std::vector<workspace_usage> mTold;
  fleet_view mView;
  quota_window mAll{ kWindow };
};

// Found on a grown site's day: 80 instances that all saw room in a window at
// the same moment filled it several times over before they heard of it.
TEST(TestQuotaLimiter, AFleetThatHearsLateKeepsToTheLimitAndFillsIt)
{
  for (std::uint32_t seed = 1; seed <= 100; ++seed) {
    auto const [most, last] =
      quota_fleet{ seed * 1'000 }.Run(5 * kWorkspace.mRate);
    EXPECT_LE(most, 1.1 * kLimit) << "seed " << seed;
    EXPECT_GE(last, 0.9 * kLimit) << "seed " << seed;
  }
}

TEST(TestQuotaLimiter, AFleetThatIsAskedForLessThanTheRateRefusesNothing)
{
  constexpr double kAsked = 0.9 * 100;
  auto const [most, last] = quota_fleet{ 1 }.Run(kAsked);
  EXPECT_NEAR(last, kAsked * 8, 0.05 * kLimit);
}

TEST(TestQuotaLimiter, NoLimitIsNoLimit)
{
  quota_limiter limiter{ { .mWindow = kWindow } };
  EXPECT_TRUE(limiter.TryCharge(
    At({}), { .mName = workspace_id{ "free" } }, 1'000'000'000));
}

}

}
