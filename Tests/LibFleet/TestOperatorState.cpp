#include <LibFleet/OperatorState.h>

#include <gtest/gtest.h>

namespace lycheeseam {

namespace {

instant const kNow = instant{} + std::chrono::seconds{ 100 };

std::shared_ptr<dispatch_config const>
Config(std::uint64_t aVersion)
{
  return std::make_shared<dispatch_config const>(
    aVersion,
    std::vector<dispatch_route>{},
    std::vector<dispatch_pool>{},
    std::vector<dispatch_workspace>{},
    caller_limits{});
}

TEST(TestOperatorState, OlderConfigurationsAreIgnored)
{
  operator_state state;
  EXPECT_TRUE(state.Apply(Config(5)));
  EXPECT_FALSE(state.Apply(Config(5)));
  EXPECT_FALSE(state.Apply(Config(3)));
  EXPECT_EQ(state.Config()->Version(), 5U);
  EXPECT_TRUE(state.Apply(Config(9)));
}

TEST(TestOperatorState, WeightsKeepTheTimeOfTheirReplacement)
{
  operator_state state;
  model_name const model{ "m" };
  EXPECT_TRUE(state.Apply(kNow, { .mModel = model, .mVersion = 2 }));
  EXPECT_TRUE(state.Apply(kNow + std::chrono::seconds{ 3 },
                          { .mModel = model, .mVersion = 4 }));
  EXPECT_FALSE(state.Apply(kNow, { .mModel = model, .mVersion = 3 }));
  target_weights const& weights = state.Weights()[0];
  EXPECT_EQ(weights.Newest(), 4U);
  EXPECT_EQ(weights.ReplacedSince(1), kNow);
  EXPECT_EQ(weights.ReplacedSince(2), kNow + std::chrono::seconds{ 3 });
  EXPECT_FALSE(weights.ReplacedSince(4));
}

}

}
