#include <LibFleet/OperatorState.h>
#include <LibStore/StorePosition.h>

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

rollout_order
Order(char const* aTarget, store_position aPosition)
{
  return { .mPool = pool_name{ "p" },
           .mTarget = software_version{ aTarget },
           .mDuration = std::chrono::seconds{ 12 },
           .mNumber = aPosition.Number() };
}

TEST(TestOperatorState, NewerOrderReplacesTheOneOfItsPool)
{
  operator_state state;
  EXPECT_TRUE(state.Apply(kNow, Order("v2", { store_era{}, 4 })));
  EXPECT_TRUE(state.Apply(kNow, Order("v3", { store_era{}, 6 })));
  EXPECT_FALSE(state.Apply(kNow, Order("v2", { store_era{}, 4 })));
  ASSERT_EQ(state.Rollouts().size(), 1U);
  EXPECT_EQ(state.Rollouts()[0].mOrder.mTarget, software_version{ "v3" });
}

// Guards against a rollout that begins again because its record is read again,
// by a full read or from a store that came back from an older copy.
TEST(TestOperatorState, OrderOfARecordThatIsReadAgainIsTheSame)
{
  operator_state state;
  EXPECT_TRUE(state.Apply(kNow, Order("v2", { store_era{ 1 }, 4 })));
  instant const later = kNow + std::chrono::seconds{ 5 };
  EXPECT_FALSE(state.Apply(later, Order("v2", { store_era{ 1 }, 4 })));
  EXPECT_FALSE(state.Apply(later, Order("v2", { store_era{ 2 }, 4 })));
  EXPECT_EQ(state.Rollouts()[0].mLearnedAt, kNow);
  // The copy lacked the record, and another order got its offset.
  EXPECT_TRUE(state.Apply(later, Order("v3", { store_era{ 2 }, 4 })));
}

}

}
