#include <LibDispatch/ChooseServer.h>
#include <LibGateway/TrafficRollouts.h>

#include <gtest/gtest.h>

#include <chrono>
#include <set>
#include <string>
#include <vector>

namespace lycheeseam {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

instant const kNow = instant{} + seconds{ 100 };
pool_name const kPool{ "p" };
software_version const kOld{ "v1" };
software_version const kNew{ "v2" };

dispatch_route
Route()
{
  return { .mName = route_name{ "r" }, .mTargetLatency = milliseconds{ 400 } };
}

/// The traffic thread's part in a rollout, with four servers of the old and
/// four of the new software.
class TestTrafficRollouts : public testing::Test
{
protected:
  static constexpr int kServers = 4;

  void SetUp() override
  {
    for (int index = 0; index < kServers; ++index) {
      AddServer("old-" + std::to_string(index), kOld);
      AddServer("new-" + std::to_string(index), kNew);
    }
  }

  void AddServer(std::string const& aId, software_version const& aSoftware)
  {
    mView.mServers.push_back({ .mId = backend_server_id{ aId },
                               .mPool = kPool,
                               .mSlots = 100,
                               .mSoftware = aSoftware });
  }

  // The leader's next step.
  void Apply(rollout_phase aPhase, double aShare, std::uint32_t aServers = 0)
  {
    ++mRevision;
    mView.mRollouts = { { .mOrder = { .mPool = kPool,
                                      .mTarget = kNew,
                                      .mDuration = seconds{ 12 },
                                      .mNumber = 5 },
                          .mPhase = aPhase,
                          .mShare = aShare,
                          .mServers = aServers,
                          .mRevision = mRevision,
                          .mElapsed = mNow - kNow } };
    mServers.Apply(mView);
    mRollouts.Apply(mNow, mView, mServers);
  }

  // The server of a request; empty without one.
  std::string ServerOf(allowed_software const& aAllowed)
  {
    std::vector<tracked_server*> kept;
    tracked_server const* const server = ChooseServer(
      traffic_rollouts::Restrict(mServers.Pool(kPool), aAllowed, kept),
      { .mNow = mNow, .mAllowedSoftware = aAllowed });
    return server == nullptr ? std::string{} : server->mRegistered.mId.Text();
  }

  std::string ServerOfRequest(int aRequest)
  {
    return ServerOf(mRollouts.Choose(mNow, kPool, std::to_string(aRequest)));
  }

  // How many of 200 requests go to the new software.
  int CountNew()
  {
    int count = 0;
    for (int request = 0; request < 200; ++request)
      count += ServerOfRequest(request).starts_with("new") ? 1 : 0;
    return count;
  }

  bool MayResume(software_version const& aSoftware)
  {
    return mRollouts.ChooseResumption(mNow, kPool, aSoftware).Allows(aSoftware);
  }

  observed_attempt Send(std::string const& aServer)
  {
    return mRollouts.OnSent(
      mNow, *mServers.Find(backend_server_id{ aServer }), Route(), 0);
  }

  traffic_report TakeReport()
  {
    traffic_report report;
    mRollouts.TakeReport(report);
    return report;
  }

  instant mNow = kNow;
  std::uint64_t mRevision = 0;
  fleet_view mView;
  server_table mServers;
  traffic_rollouts mRollouts{ rollout_limits{ .mShare = 0.5 } };
};

TEST_F(TestTrafficRollouts, ObservingSendsNothingWithoutAShare)
{
  Apply(rollout_phase::Observing, 0);
  EXPECT_EQ(CountNew(), 0);
  EXPECT_TRUE(MayResume(kOld));
}

TEST_F(TestTrafficRollouts, RampingSendsAShareToTheFirstServers)
{
  Apply(rollout_phase::Ramping, 0.2, 1);
  std::set<std::string> used;
  int count = 0;
  for (int request = 0; request < 200; ++request) {
    std::string const server = ServerOfRequest(request);
    if (!server.starts_with("new"))
      continue;
    ++count;
    used.insert(server);
  }
  EXPECT_GT(count, 10);
  EXPECT_LT(count, 80);
  EXPECT_EQ(used.size(), 1U);
  EXPECT_TRUE(MayResume(kOld));
  EXPECT_TRUE(MayResume(kNew));
}

// Guards against a second failure of a request on the version on trial.
TEST_F(TestTrafficRollouts, RepeatsGoToOtherSoftware)
{
  Apply(rollout_phase::Ramping, 1);
  for (int repeat = 0; repeat < 50; ++repeat)
    EXPECT_TRUE(
      ServerOf(mRollouts.ChooseRepeat(mNow, kPool)).starts_with("old"));
}

// Guards against an instance that goes on with a version that the others have
// rolled back, because it is cut off from them.
TEST_F(TestTrafficRollouts, NothingIsSentToTheTargetWithoutItsLeader)
{
  Apply(rollout_phase::Ramping, 0.2);
  EXPECT_GT(CountNew(), 0);
  mNow += milliseconds{ 1'600 };
  EXPECT_EQ(CountNew(), 0);
  EXPECT_FALSE(MayResume(kNew));
  Apply(rollout_phase::Ramping, 0.2);
  EXPECT_TRUE(MayResume(kNew));
}

TEST_F(TestTrafficRollouts, DrainingSendsAllToTheTarget)
{
  Apply(rollout_phase::Draining, 1);
  EXPECT_EQ(CountNew(), 200);
  EXPECT_TRUE(ServerOf(mRollouts.ChooseRepeat(mNow, kPool)).starts_with("new"));
}

// Guards against old servers that are stopped under requests: a stream on old
// software may go on until this instance has reported that none runs there.
TEST_F(TestTrafficRollouts, NothingRunsOnOldSoftwareOnceItIsReportedDrained)
{
  Apply(rollout_phase::Ramping, 0.2);
  observed_attempt const running = Send("old-1");
  EXPECT_TRUE(TakeReport().mDrained.empty());
  Apply(rollout_phase::Draining, 1);
  EXPECT_TRUE(TakeReport().mDrained.empty());
  EXPECT_TRUE(MayResume(kOld));
  mRollouts.OnEnd(mNow, running);
  EXPECT_EQ(TakeReport().mDrained,
            (std::vector<rollout_drain>{ { 5, mRevision } }));
  EXPECT_FALSE(MayResume(kOld));
  EXPECT_TRUE(MayResume(kNew));
  // It is found bad, and the old servers are still there.
  Apply(rollout_phase::RolledBack, 0);
  EXPECT_TRUE(MayResume(kOld));
}

// Guards against a request that began before the order and isn't waited for.
TEST_F(TestTrafficRollouts, RequestsFromBeforeTheOrderAreWaitedFor)
{
  mServers.Apply(mView);
  mRollouts.Apply(mNow, mView, mServers);
  observed_attempt const running = Send("old-1");
  Apply(rollout_phase::Draining, 1);
  EXPECT_TRUE(TakeReport().mDrained.empty());
  mRollouts.OnEnd(mNow, running);
  EXPECT_EQ(TakeReport().mDrained.size(), 1U);
  EXPECT_TRUE(TakeReport().mRolloutSamples.empty());
}

TEST_F(TestTrafficRollouts, EndedRolloutsAllowOneSoftwareOnly)
{
  Apply(rollout_phase::RolledBack, 0);
  EXPECT_EQ(CountNew(), 0);
  EXPECT_FALSE(MayResume(kNew));
  EXPECT_TRUE(MayResume(kOld));
  traffic_rollouts completed{ rollout_limits{} };
  mView.mRollouts[0].mPhase = rollout_phase::Completed;
  completed.Apply(mNow, mView, mServers);
  for (int request = 0; request < 50; ++request)
    EXPECT_TRUE(ServerOf(completed.Choose(mNow, kPool, std::to_string(request)))
                  .starts_with("new"));
  EXPECT_FALSE(completed.ChooseResumption(mNow, kPool, kOld).Allows(kOld));
}

// Guards against other behaviour in deployments without rollouts.
TEST_F(TestTrafficRollouts, WithoutLimitsAllSoftwareIsAllowed)
{
  traffic_rollouts none{ std::nullopt };
  Apply(rollout_phase::RolledBack, 0);
  none.Apply(mNow, mView, mServers);
  allowed_software const allowed = none.Choose(mNow, kPool, "1");
  EXPECT_TRUE(allowed.Allows(kOld));
  EXPECT_TRUE(allowed.Allows(kNew));
  EXPECT_TRUE(none.ChooseResumption(mNow, kPool, kNew).Allows(kNew));
}

TEST_F(TestTrafficRollouts, AnswersAreCountedBySide)
{
  Apply(rollout_phase::Ramping, 0.2);
  observed_attempt good = Send("old-1");
  good.OnPiece(mNow + milliseconds{ 50 });
  good.OnPiece(mNow + milliseconds{ 250 });
  good.mStatus = 200;
  good.mIsComplete = true;
  mRollouts.OnEnd(mNow + milliseconds{ 260 }, good);
  observed_attempt failed = Send("new-1");
  failed.mStatus = 503;
  mRollouts.OnEnd(mNow + milliseconds{ 20 }, failed);
  observed_attempt broken = Send("new-2");
  broken.mIsBroken = true;
  mRollouts.OnEnd(mNow + milliseconds{ 20 }, broken);
  std::vector<rollout_sample> const samples = TakeReport().mRolloutSamples;
  ASSERT_EQ(samples.size(), 2U);
  EXPECT_EQ(samples[0].mSide, rollout_side::Others);
  EXPECT_EQ(samples[0].mAnswers, 1U);
  EXPECT_EQ(samples[0].mFailures, 0U);
  EXPECT_EQ(samples[0]
              .mFirstEvent[0]
              .mCounts[log_histogram::BucketOf(milliseconds{ 50 })],
            1U);
  EXPECT_EQ(
    samples[0]
      .mLongestPause.mCounts[log_histogram::BucketOf(milliseconds{ 200 })],
    1U);
  EXPECT_EQ(samples[0].mRunTime, milliseconds{ 260 });
  EXPECT_EQ(samples[1].mSide, rollout_side::Target);
  EXPECT_EQ(samples[1].mAnswers, 2U);
  EXPECT_EQ(samples[1].mFailures, 2U);
  EXPECT_TRUE(TakeReport().mRolloutSamples.empty());
}

// Guards against a version that never answers and counts as good, since its
// callers give up before their time limit ends.
TEST_F(TestTrafficRollouts, ServerThatDoesNotAnswerInTimeHasFailed)
{
  Apply(rollout_phase::Ramping, 0.2);
  mRollouts.OnEnd(mNow + milliseconds{ 900 }, Send("new-1"));
  // Callers that leave early, and requests that no server ran, say nothing.
  mRollouts.OnEnd(mNow + milliseconds{ 100 }, Send("new-1"));
  observed_attempt notRun = Send("new-1");
  notRun.mStatus = 503;
  notRun.mIsIgnored = true;
  mRollouts.OnEnd(mNow + milliseconds{ 100 }, notRun);
  std::vector<rollout_sample> const samples = TakeReport().mRolloutSamples;
  ASSERT_EQ(samples.size(), 1U);
  EXPECT_EQ(samples[0].mAnswers, 1U);
  EXPECT_EQ(samples[0].mFailures, 1U);
  EXPECT_EQ(samples[0].mFirstEvent[0].Total(), 1U);
}

// Guards against a version whose streams stop and that counts as good, since
// their callers leave.
TEST_F(TestTrafficRollouts, StreamThatStoppedHasALongPause)
{
  Apply(rollout_phase::Ramping, 0.2);
  observed_attempt stopped = Send("new-1");
  stopped.OnPiece(mNow + milliseconds{ 50 });
  mRollouts.OnEnd(mNow + milliseconds{ 1'050 }, stopped);
  std::vector<rollout_sample> const samples = TakeReport().mRolloutSamples;
  ASSERT_EQ(samples.size(), 1U);
  EXPECT_EQ(
    samples[0]
      .mLongestPause.mCounts[log_histogram::BucketOf(milliseconds{ 1'000 })],
    1U);
}

}
}
