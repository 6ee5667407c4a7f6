#include <LibDispatch/SpeedTrial.h>

#include <gtest/gtest.h>

#include <chrono>
#include <string>

namespace lycheeseam {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

instant const kNow{ seconds{ 100 } };
pool_name const kPool{ "p" };

class TestSpeedTrial : public testing::Test
{
protected:
  TestSpeedTrial()
  {
    fleet_view view;
    for (char const* const id : { "s-1", "s-2" })
      view.mServers.push_back(
        { .mId = backend_server_id{ id }, .mPool = kPool });
    mTable.Apply(view);
  }

  // Requests that take aFirstEvent on a server that reports aSlowdown with each
  // answer.
  void Run(std::size_t aServer,
           milliseconds aFirstEvent,
           std::optional<double> aSlowdown,
           token_count aTokens = 1'000)
  {
    tracked_server& server = *mTable.Pool(kPool)[aServer];
    speed_trial trial;
    trial.Begin(mNow, server, aTokens);
    mNow += aFirstEvent;
    server.OnLoad(
      { .mRunning = 1, .mSlowdown = aSlowdown, .mReportedAt = mNow });
    trial.OnFirstEvent(mNow, server, mTable);
  }

  double SpeedOf(std::size_t aServer)
  {
    return mTable.Pool(kPool)[aServer]->Estimate(mNow).mSpeed;
  }

  instant mNow = kNow;
  server_table mTable;
};

TEST_F(TestSpeedTrial, LearnsWhichServerIsFaster)
{
  for (int round = 0; round < 300; ++round) {
    Run(0, milliseconds{ 50 }, 1.0);
    Run(1, milliseconds{ 100 }, 1.0);
  }
  EXPECT_GT(SpeedOf(0), 1.2);
  EXPECT_LT(SpeedOf(1), 0.8);
}

// Guards against counting the same delay twice: in the slowdown and in the
// speed.
TEST_F(TestSpeedTrial, ReportedSlowdownIsNoLackOfSpeed)
{
  for (int round = 0; round < 300; ++round) {
    Run(0, milliseconds{ 50 }, 1.0);
    Run(1, milliseconds{ 100 }, 2.0);
  }
  EXPECT_NEAR(SpeedOf(0), SpeedOf(1), 0.05);
}

// Guards against new behaviour where servers report three figures.
TEST_F(TestSpeedTrial, NothingIsLearnedWithoutASlowdown)
{
  for (int round = 0; round < 100; ++round) {
    Run(0, milliseconds{ 50 }, std::nullopt);
    Run(1, milliseconds{ 100 }, std::nullopt);
    Run(1, milliseconds{ 100 }, 1.0, 0);
  }
  EXPECT_EQ(SpeedOf(0), 1);
  EXPECT_EQ(SpeedOf(1), 1);
}

}
}
