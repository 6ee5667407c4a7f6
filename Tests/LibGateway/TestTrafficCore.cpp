#include <LibGateway/TrafficCore.h>

#include <gtest/gtest.h>

#include <chrono>
#include <memory>

namespace lycheeseam {
namespace {

instant const kNow{ std::chrono::seconds{ 100 } };
pool_name const kPool{ "p" };

class TestTrafficCore : public testing::Test
{
protected:
  void See(std::uint32_t aInstances)
  {
    mView.Publish(std::make_shared<fleet_view const>(
      fleet_view{ .mInstances = aInstances }));
    mCore.View(kNow);
  }

  int Repeats()
  {
    int repeats = 0;
    while (mCore.TryRepeat(kNow, kPool))
      ++repeats;
    return repeats;
  }

  gateway_options mOptions{ .mRetrySlack = 100 };
  published<fleet_view> mView{ std::make_shared<fleet_view const>() };
  traffic_core mCore{ mOptions, mView };
};

// Half of the slack may be saved up, less a fifth kept back.
TEST_F(TestTrafficCore, ALoneInstanceMayRepeatForAll)
{
  See(1);
  EXPECT_EQ(Repeats(), 40);
}

// An instance that repeated before it knew of the others kept the share that
// it had then.
TEST_F(TestTrafficCore, InstancesThatAreFoundLaterTakeTheirShare)
{
  See(1);
  EXPECT_TRUE(mCore.TryRepeat(kNow, kPool));
  See(4);
  EXPECT_EQ(Repeats(), 10);
}

}
}
