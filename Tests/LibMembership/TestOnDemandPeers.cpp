#include <LibMembership/OnDemandPeers.h>

#include <gtest/gtest.h>

namespace lycheeseam {
namespace {

using std::chrono::seconds;

TEST(TestOnDemandPeers, DropsTheLeastRecentlyUsedAndTheIdle)
{
  on_demand_peers demand{ { .mMaxPeers = 2, .mIdleTimeout = seconds{ 10 } } };
  instant const now{};
  std::vector<instance_id> const selected{ instance_id{ "a" } };
  demand.OnUse(instance_id{ "b" }, now);
  demand.OnUse(instance_id{ "c" }, now + seconds{ 1 });
  demand.OnUse(instance_id{ "a" }, now + seconds{ 2 });
  EXPECT_EQ(
    demand.Merge(selected, now + seconds{ 3 }),
    (std::vector<instance_id>{ instance_id{ "a" }, instance_id{ "c" } }));
  EXPECT_EQ(demand.Merge(selected, now + seconds{ 12 }), selected);
}

}
}
