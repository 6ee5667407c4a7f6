#include "PoisonFleet.h"
#include "PoisonTotals.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>

namespace lycheeseam {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSchedules = 300;

poison_totals
RunSchedules(double aLoss, bool aWithRestarts)
{
  poison_totals tally;
  for (std::uint64_t seed = 1; seed <= kSchedules; ++seed) {
    poison_fleet fleet{ seed, aLoss };
    fleet.Run(seconds{ 20 }, aWithRestarts);
    EXPECT_LE(fleet.mCrashes, 2) << "seed " << seed;
    tally.mMostCrashes = std::max(tally.mMostCrashes, fleet.mCrashes);
    tally.mCompleted += fleet.mCompleted;
    tally.mRefusedInnocent += fleet.mRefusedInnocent;
    tally.mSharedSuspects += fleet.mSharedSuspects;
  }
  std::cout << "most crashes " << tally.mMostCrashes << " completed "
            << tally.mCompleted << " innocent refused "
            << tally.mRefusedInnocent << " shared suspects "
            << tally.mSharedSuspects << '\n';
  return tally;
}

TEST(TestPoison, CostsAtMostTwoServersHoweverOftenItIsSent)
{
  poison_totals const tally = RunSchedules(0, false);
  EXPECT_EQ(tally.mSharedSuspects, 0);
  EXPECT_GT(tally.mCompleted, 0);
}

TEST(TestPoison, CostsAtMostTwoServersWhenRoutersRestart)
{
  RunSchedules(0, true);
}

TEST(TestPoison, CostsAtMostTwoServersWhenAsksAreLost)
{
  RunSchedules(0.1, false);
}

}
}
