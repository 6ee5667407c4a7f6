#include <LibGateway/TrafficCore.h>

#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <string>

namespace lycheeseam {
namespace {

instant const kNow{ std::chrono::seconds{ 100 } };
pool_name const kPool{ "p" };

class TestTrafficCore : public testing::Test
{
protected:
  void PublishInstances(std::uint32_t aInstances)
  {
    mView.Publish(std::make_shared<fleet_view const>(
      fleet_view{ .mInstances = aInstances }));
    mCore.View(kNow);
  }

  int CountRetries()
  {
    int retries = 0;
    while (mCore.TrySpendRetry(kNow, kPool))
      ++retries;
    return retries;
  }

  gateway_options mOptions{ .mRetrySlack = 100 };
  published<fleet_view> mView{ std::make_shared<fleet_view const>() };
  traffic_core mCore{ mOptions, mView };
};

TEST_F(TestTrafficCore, OneOfTheReadyInstancesRunsTheTrialOfAPart)
{
  fleet_view view;
  for (int index = 0; index < 7; ++index)
    view.mReadyInstances.push_back(
      { .mInstance = instance_id{ "entry-" + std::to_string(index) } });
  mView.Publish(std::make_shared<fleet_view const>(view));
  for (std::uint64_t part = 1; part <= 20; ++part) {
    int trials = 0;
    for (ready_instance const& entry : view.mReadyInstances) {
      gateway_options const options{ .mInstance = entry.mInstance };
      traffic_core core{ options, mView };
      trials += core.RunsTrialOf(kNow, part) ? 1 : 0;
    }
    EXPECT_EQ(trials, 1) << part;
  }
}

// Half of the slack can be saved up, less a fifth that is held back.
TEST_F(TestTrafficCore, SingleInstanceHasFullRetryBudget)
{
  PublishInstances(1);
  EXPECT_EQ(CountRetries(), 40);
}

// Guards against an instance that keeps the share it had alone: one that
// retried before it learned of the others did not lower its budget.
TEST_F(TestTrafficCore, RetryBudgetShrinksWhenInstancesJoin)
{
  PublishInstances(1);
  EXPECT_TRUE(mCore.TrySpendRetry(kNow, kPool));
  PublishInstances(4);
  EXPECT_EQ(CountRetries(), 10);
}

// Guards against a large fleet without retries: with 95 instances the share of
// the slack that one could save up was less than one retry, so none was ever
// allowed, and every request that met a crashed engine was refused.
TEST_F(TestTrafficCore, InstanceOfLargeFleetMayRetry)
{
  PublishInstances(300);
  EXPECT_EQ(CountRetries(), 1);
  constexpr int kRequestsForARetry = 7;
  for (int request = 0; request < kRequestsForARetry; ++request)
    mCore.OnFirstAttempt(kPool);
  EXPECT_EQ(CountRetries(), 1);
}

}
}
