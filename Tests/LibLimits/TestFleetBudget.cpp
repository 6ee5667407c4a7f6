#include "VirtualFleet.h"

#include <gtest/gtest.h>

#include <iostream>

namespace lycheeseam {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeedsPerBlock = 40;
constexpr std::uint64_t kFaultSchedules = 40;
constexpr duration kScheduleTime = seconds{ 40 };
/// The largest rounding error of the reference bucket, in tokens.
constexpr double kRoundingError = 1;

workspace_row
SmallRow()
{
  return { .mName = workspace_id{ "bangkok" }, .mRate = 4000, .mBurst = 6000 };
}

std::size_t
AnyMember(virtual_fleet& aFleet)
{
  return aFleet.Random()() % aFleet.Size();
}

// Sends waves of requests with pauses between them, so that slots are full and
// loans are held when the next wave starts.
void
ScheduleWaves(virtual_fleet& aFleet, instant aEnd)
{
  instant at = aFleet.Now();
  while (at < aEnd) {
    bool const isLarge = aFleet.Random()() % 3 == 0;
    token_count const tokens = isLarge ? 4500 : 200;
    std::size_t const count = isLarge ? 4 : 60;
    for (std::size_t i = 0; i < count; ++i) {
      duration const spread = aFleet.RandomTime(seconds{ 0 }, seconds{ 1 });
      aFleet.At(at + spread, [&aFleet, tokens]() {
        aFleet.Request(AnyMember(aFleet), tokens, milliseconds{ 400 });
      });
    }
    at += aFleet.RandomTime(milliseconds{ 300 }, milliseconds{ 2500 });
  }
}

void
InjectFault(virtual_fleet& aFleet)
{
  std::size_t const who = AnyMember(aFleet);
  duration const span = aFleet.RandomTime(milliseconds{ 200 }, seconds{ 10 });
  switch (aFleet.Random()() % 8) {
    case 0:
      aFleet.Crash(who, span / 4, false);
      break;
    case 1:
      aFleet.Crash(who, span / 4, true);
      break;
    case 2:
      aFleet.Pause(who, span);
      break;
    case 3:
      aFleet.Partition({ who, AnyMember(aFleet), AnyMember(aFleet) },
                       2 * span,
                       aFleet.Random()() % 2 == 0);
      break;
    case 4:
      aFleet.StartLogOutage(span);
      break;
    case 5:
      aFleet.HideFromList(who, 3 * span);
      break;
    case 6:
      aFleet.SetLoss(aFleet.Random()() % 2 == 0 ? 0.2 : 0.0);
      break;
    default: {
      token_count const rate =
        2000 + static_cast<token_count>(aFleet.Random()() % 6000);
      aFleet.ChangeLimits(rate, rate + rate / 2);
    }
  }
}

struct schedule_result
{
  double mLowestLevel = 0;
  std::uint64_t mAdmitted = 0;
};

schedule_result
RunSchedule(std::uint64_t aSeed, budget_timing const& aTiming)
{
  // A fault affects a larger share of a fleet with three slots than with eight.
  std::uint32_t const size = aSeed % 2 == 0 ? 8 : 3;
  virtual_fleet fleet{ { .mSeed = aSeed,
                         .mInstances = size,
                         .mLayout = { .mSlots = size,
                                      .mSlotsPerWorkspace = size },
                         .mRow = SmallRow(),
                         .mTiming = aTiming } };
  instant const end = fleet.Now() + kScheduleTime;
  ScheduleWaves(fleet, end);
  instant at = fleet.Now() + seconds{ 3 };
  while (at < end) {
    fleet.At(at, [&fleet]() { InjectFault(fleet); });
    at += fleet.RandomTime(milliseconds{ 200 }, seconds{ 4 });
  }
  fleet.RunUntil(end);
  return { .mLowestLevel = fleet.LowestLevel(),
           .mAdmitted = fleet.Tally().mAdmitted };
}

/// Runs one block of seeds; blocks are separate tests, so that they can run in
/// parallel.
class fleet_schedules : public testing::TestWithParam<std::uint64_t>
{};

// Guards against an overdraft of a workspace's limits under crashes, pauses,
// partitions, log outages, lost messages and changes of the limits.
TEST_P(fleet_schedules, NeverAdmitMoreThanBurstAndRate)
{
  std::uint64_t admitted = 0;
  std::uint64_t const first = GetParam() * kSeedsPerBlock + 1;
  for (std::uint64_t seed = first; seed < first + kSeedsPerBlock; ++seed) {
    schedule_result const result = RunSchedule(seed, {});
    EXPECT_GE(result.mLowestLevel, -kRoundingError) << "seed " << seed;
    admitted += result.mAdmitted;
  }
  // Schedules that admit nothing would prove nothing.
  EXPECT_GT(admitted, kSeedsPerBlock * 200);
  std::cout << "admitted requests: " << admitted << '\n';
}

INSTANTIATE_TEST_SUITE_P(Blocks,
                         fleet_schedules,
                         testing::Range<std::uint64_t>(0, 8));

// Shows that the schedules detect a lender that lends the same tokens twice,
// because it does not count outstanding loans against its burst.
TEST(TestFleetBudget, OverdrawsWhenLoansAreNotCounted)
{
  budget_timing timing;
  timing.mLenderLoanExpiry = duration{ 0 };
  std::uint64_t overdrawn = 0;
  for (std::uint64_t seed = 1; seed <= kFaultSchedules; ++seed)
    overdrawn +=
      RunSchedule(seed, timing).mLowestLevel < -kRoundingError ? 1 : 0;
  EXPECT_GT(overdrawn, 0U);
  std::cout << "overdrawn schedules: " << overdrawn << '\n';
}

// Guards against loans by the old, higher limits: while the log is reachable,
// lower limits bind within two seconds and one loan expiry.
TEST(TestFleetBudget, LowerLimitsBindWithinFourSeconds)
{
  virtual_fleet fleet{ { .mRow = SmallRow() } };
  instant const start = fleet.Now() + seconds{ 5 };
  for (int i = 0; i < 3000; ++i) {
    fleet.At(start + i * milliseconds{ 5 }, [&fleet]() {
      fleet.Request(AnyMember(fleet), 50, milliseconds{ 50 });
    });
  }
  fleet.RunUntil(start + seconds{ 5 });
  fleet.ChangeLimits(1000, 1500);
  fleet.RunUntil(start + seconds{ 9 });
  token_count const before = fleet.Tally().mAdmittedTokens;
  fleet.RunUntil(start + seconds{ 14 });
  token_count const admitted = fleet.Tally().mAdmittedTokens - before;
  // At most half of each charge is refunded and may be admitted again.
  EXPECT_LE(admitted, 2 * (1500 + 5 * 1000));
  EXPECT_GT(admitted, 2500);
}

// A slot's whole burst is lent and stays unspent while its holder restarts;
// then everything is spent at once.
double
LowestAfterRestartWithHeldLoans(budget_timing const& aTiming)
{
  virtual_fleet fleet{ { .mInstances = 2,
                         .mLayout = { .mSlots = 2, .mSlotsPerWorkspace = 2 },
                         .mRow = SmallRow(),
                         .mTiming = aTiming } };
  instant const start = fleet.Now() + seconds{ 10 };
  fleet.At(start, [&fleet]() { fleet.Request(1, 100, milliseconds{ 50 }); });
  fleet.At(start + milliseconds{ 5 },
           [&fleet]() { fleet.Request(1, 6000, milliseconds{ 10 }); });
  fleet.At(start + milliseconds{ 30 }, [&fleet]() {
    fleet.Crash(0, milliseconds{ 20 }, false);
    fleet.Crash(0, milliseconds{ 20 }, false);
  });
  for (int i = 0; i < 60; ++i) {
    fleet.At(start + milliseconds{ 1900 },
             [&fleet]() { fleet.Request(1, 200, milliseconds{ 20 }); });
  }
  fleet.RunUntil(start + seconds{ 5 });
  return fleet.LowestLevel();
}

// Guards against a restarted holder that lends again while loans of its earlier
// incarnation may still be spent. Without mRestartWait it overdraws.
TEST(TestFleetBudget, ARestartedHolderAccruesNothingUntilItsOldLoansExpire)
{
  EXPECT_GE(LowestAfterRestartWithHeldLoans({}), -kRoundingError);
  budget_timing broken;
  broken.mRestartWait = duration{ 0 };
  double const lowest = LowestAfterRestartWithHeldLoans(broken);
  EXPECT_LT(lowest, -kRoundingError);
  std::cout << "lowest level without the wait: " << lowest << '\n';
}

// Two of three holders reach each other but neither the platform nor the third,
// and the platform's list drops them; the third claims their slots.
double
LowestAfterWrongTakeover()
{
  virtual_fleet fleet{ { .mInstances = 3,
                         .mLayout = { .mSlots = 3, .mSlotsPerWorkspace = 3 },
                         .mRow = SmallRow() } };
  instant const start = fleet.Now() + seconds{ 5 };
  fleet.At(start, [&fleet]() {
    fleet.Partition({ 0, 1 }, seconds{ 40 }, true);
    fleet.HideFromList(0, seconds{ 40 });
    fleet.HideFromList(1, seconds{ 40 });
  });
  for (int i = 0; i < 4000; ++i) {
    std::size_t const who = static_cast<std::size_t>(i) % 3;
    fleet.At(start + i * milliseconds{ 10 },
             [&fleet, who]() { fleet.Request(who, 200, milliseconds{ 100 }); });
  }
  fleet.RunUntil(start + seconds{ 40 });
  EXPECT_GT(fleet.Tally().mAdmitted, 0U);
  return fleet.LowestLevel();
}

// Guards against a takeover that opens slots whose holders still lend.
TEST(TestFleetBudget, DoesNotOverdrawWhenHoldersMissingFromTheListStillLend)
{
  EXPECT_GE(LowestAfterWrongTakeover(), -kRoundingError);
}

// Guards against refusals below the rate. Of eight instances, one restarts
// every ten seconds, and one receives eight times the requests of each other.
TEST(TestFleetBudget, RefusesUnderOneInAThousandWithinTheRate)
{
  workspace_row const row{ .mName = workspace_id{ "riga" },
                           .mRate = 20000,
                           .mBurst = 60000 };
  virtual_fleet fleet{ { .mSeed = 7, .mRow = row, .mLeastUsed = 100 } };
  constexpr token_count kTokens = 300;
  double const perSecond = 0.9 * static_cast<double>(row.mRate) / kTokens;
  std::exponential_distribution<double> gaps{ perSecond };
  std::discrete_distribution<std::size_t> shares{ 8, 1, 1, 1, 1, 1, 1, 1 };
  instant const start = fleet.Now() + seconds{ 20 };
  instant const end = start + seconds{ 600 };
  for (int i = 0; i < 60; ++i) {
    std::size_t const who = static_cast<std::size_t>(i) % fleet.Size();
    fleet.At(start + i * seconds{ 10 },
             [&fleet, who]() { fleet.Crash(who, milliseconds{ 500 }, false); });
  }
  std::function<void()> const arrive = [&]() {
    fleet.Request(shares(fleet.Random()), kTokens, seconds{ 1 });
    std::chrono::duration<double> const gap{ gaps(fleet.Random()) };
    instant const next =
      fleet.Now() + std::chrono::duration_cast<duration>(gap);
    if (next < end)
      fleet.At(next, arrive);
  };
  fleet.At(start, arrive);
  fleet.RunUntil(end + seconds{ 2 });
  virtual_fleet::tally const& tally = fleet.Tally();
  double const refused = static_cast<double>(tally.mRefused) /
                         static_cast<double>(tally.mRefused + tally.mAdmitted);
  EXPECT_LT(refused, 0.001);
  EXPECT_GE(fleet.LowestLevel(), -kRoundingError);
  std::cout << "refused " << tally.mRefused << " of "
            << tally.mRefused + tally.mAdmitted << '\n';
}

}
}
