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
  poison_totals totals;
  for (std::uint64_t seed = 1; seed <= kSchedules; ++seed) {
    poison_fleet fleet{ seed, aLoss };
    fleet.Run(seconds{ 20 }, aWithRestarts);
    EXPECT_LE(fleet.mCrashes, 2) << "seed " << seed;
    totals.mMaxCrashes = std::max(totals.mMaxCrashes, fleet.mCrashes);
    totals.mCompleted += fleet.mCompleted;
    totals.mRefusedHarmless += fleet.mRefusedHarmless;
    totals.mSharedSuspects += fleet.mSharedSuspects;
  }
  std::cout << "max crashes " << totals.mMaxCrashes << " completed "
            << totals.mCompleted << " harmless refused "
            << totals.mRefusedHarmless << " shared suspects "
            << totals.mSharedSuspects << '\n';
  return totals;
}

// A request that crashes its server reaches further servers when several
// instances send or retry it before they have received the reports of the
// crashes. Each test runs random schedules in which one fingerprint crashes
// every server that runs it, and expects at most two crashed servers. This test
// also guards against two suspects on one server at the same time, where a
// crash would not show which of them caused it.
TEST(TestPoison, CostsAtMostTwoServersHoweverOftenItIsSent)
{
  poison_totals const totals = RunSchedules(0, false);
  EXPECT_EQ(totals.mSharedSuspects, 0);
  EXPECT_GT(totals.mCompleted, 0);
}

// A restarted instance has lost the permits that it had granted and may grant
// too many new ones.
TEST(TestPoison, CostsAtMostTwoServersWhenRoutersRestart)
{
  RunSchedules(0, true);
}

// A request whose permit request or answer is lost runs without a permit and
// may crash a further server.
TEST(TestPoison, CostsAtMostTwoServersWhenPermitMessagesAreLost)
{
  RunSchedules(0.1, false);
}

}
}
