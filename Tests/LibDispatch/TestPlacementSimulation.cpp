#include "SimulatedFleet.h"
#include <LibDispatch/AdaptivePlacement.h>
#include <LibDispatch/ChooseServer.h>

#include <gtest/gtest.h>

#include <functional>
#include <map>

namespace lycheeseam {
namespace {

pool_name const kPool{ "p" };
constexpr double kSeconds = 60;

/// The choice by cost, with the state of each instance.
class by_cost
{
public:
  tracked_server* operator()(std::size_t aInstance,
                             std::span<tracked_server* const> aServers,
                             server_choice_request const& aRequest)
  {
    return mPlacements[aInstance].Choose(kPool, aServers, aRequest).mServer;
  }

private:
  std::map<std::size_t, adaptive_placement> mPlacements;
};

// The choice of pools that aren't adaptive.
tracked_server*
ByPressure(std::size_t /* aInstance */,
           std::span<tracked_server* const> aServers,
           server_choice_request const& aRequest)
{
  return ChooseServer(aServers, aRequest);
}

// The load of deployment K: the busiest of its engines had 1.52 times the mean
// load, though all are equal.
TEST(TestPlacementSimulation, EqualServersAreEvenlyLoaded)
{
  simulated_fleet fleet{ {} };
  by_cost byCost;
  fleet.Run(kSeconds, std::ref(byCost));
  simulated_fleet before{ {} };
  before.Run(kSeconds, ByPressure);
  EXPECT_LT(fleet.BusiestOverMean(), 1.25)
    << "with ChooseServer: " << before.BusiestOverMean();
}

// The load of deployment F: unequal engines with moments of 2.5 times slower
// work got equal traffic.
TEST(TestPlacementSimulation, UnequalServersAnswerSoonerWithoutReadingMore)
{
  simulated_load const load{ .mServers = 140,
                             .mSlots = 12,
                             .mMemory = 90'623,
                             .mLargePerSecond = 256,
                             .mLargePriority = 1,
                             .mSmallPerSecond = 192,
                             .mSmallPriority = 0,
                             .mIsUneven = true };
  simulated_fleet fleet{ load };
  by_cost byCost;
  fleet.Run(kSeconds, std::ref(byCost));
  simulated_fleet before{ load };
  before.Run(kSeconds, ByPressure);
  EXPECT_LT(fleet.MeanWait(), before.MeanWait() * 2 / 3);
  EXPECT_LE(fleet.ReadAgain(), before.ReadAgain());
}

}
}
