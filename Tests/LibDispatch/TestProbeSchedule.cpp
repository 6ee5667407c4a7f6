#include <LibDispatch/ProbeSchedule.h>
#include <LibDispatch/ServerTable.h>

#include <gtest/gtest.h>

#include <chrono>
#include <map>
#include <string>

namespace lycheeseam {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

pool_name const kPool{ "p" };
constexpr std::size_t kServers = 20;
constexpr std::uint32_t kSlots = 10;
constexpr milliseconds kStep{ 50 };

class TestProbeSchedule : public testing::Test
{
protected:
  TestProbeSchedule()
  {
    fleet_view view;
    for (std::size_t index = 0; index < kServers; ++index)
      view.mServers.push_back(
        { .mId = backend_server_id{ "s-" + std::to_string(index) },
          .mPool = kPool,
          .mSlots = kSlots });
    mTable.Apply(view);
    for (tracked_server* const server : Servers())
      Fill(*server);
  }

  std::span<tracked_server* const> Servers() { return mTable.Pool(kPool); }

  // Own requests on half of the slots, so that the pressure doesn't depend on
  // reports.
  void Fill(tracked_server& aServer)
  {
    for (std::uint32_t request = 0; request < kSlots / 2; ++request)
      aServer.OnStart(mNow, 100);
  }

  void Report(tracked_server& aServer)
  {
    aServer.OnLoad({ .mRunning = kSlots / 2,
                     .mSlots = kSlots,
                     .mSlowdown = 1.0,
                     .mReportedAt = mNow });
  }

  // One step with that many requests; the probed server, or null. A probe ends
  // at once, and brings a report when aIsAnswered.
  tracked_server* Step(int aRequests, bool aIsAnswered = false)
  {
    mNow += kStep;
    for (int request = 0; request < aRequests; ++request)
      mSchedule.OnSent(kPool);
    tracked_server* const chosen = mSchedule.Choose(mNow, kPool, Servers());
    if (chosen == nullptr)
      return nullptr;
    mSchedule.OnEnd(chosen->mRegistered.mId);
    if (aIsAnswered)
      Report(*chosen);
    return chosen;
  }

  int CountProbes(std::chrono::milliseconds aTime, int aRequests)
  {
    int probes = 0;
    for (instant const end = mNow + aTime; mNow < end;)
      probes += Step(aRequests) != nullptr ? 1 : 0;
    return probes;
  }

  instant mNow{ seconds{ 100 } };
  server_table mTable;
  probe_schedule mSchedule{ 7 };
};

// Guards against probes that cost more than what they are worth.
TEST_F(TestProbeSchedule, SendsThreeASecondInTheMean)
{
  CountProbes(seconds{ 2 }, 5);
  int const probes = CountProbes(seconds{ 20 }, 5);
  EXPECT_LE(probes, 61);
  EXPECT_GE(probes, 57);
}

TEST_F(TestProbeSchedule, SendsNoMoreThanTenInAnySecond)
{
  CountProbes(seconds{ 5 }, 0);
  EXPECT_LE(CountProbes(seconds{ 1 }, 5), 10);
}

TEST_F(TestProbeSchedule, SendsAtMostOneForEachRequest)
{
  EXPECT_EQ(CountProbes(seconds{ 10 }, 0), 0);
  int probes = 0;
  for (int request = 0; request < 10; ++request) {
    probes += Step(1) != nullptr ? 1 : 0;
    probes += CountProbes(seconds{ 2 }, 0);
  }
  EXPECT_EQ(probes, 10);
}

// Guards against probes of a pool whose answers say enough.
TEST_F(TestProbeSchedule, SendsNoneWhileReportsAreYoung)
{
  for (int step = 0; step < 100; ++step) {
    for (std::size_t index = 0; index < kServers; ++index) {
      // Each server reports every 600 ms; the mean age is at most 365 ms.
      if ((step + static_cast<int>(index)) % 12 == 0)
        Report(*Servers()[index]);
    }
    tracked_server const* const chosen = Step(2);
    if (step >= 12) {
      EXPECT_EQ(chosen, nullptr) << step;
    }
  }
}

TEST_F(TestProbeSchedule, SendsNoneWhileThePoolIsIdle)
{
  for (tracked_server* const server : Servers()) {
    for (std::uint32_t request = 0; request < kSlots / 2; ++request)
      server->OnEnd(100);
  }
  EXPECT_EQ(CountProbes(seconds{ 5 }, 5), 0);
}

TEST_F(TestProbeSchedule, SendsNoneToServersThatWantNone)
{
  std::span<tracked_server* const> const servers = Servers();
  for (std::size_t index = 5; index < kServers; ++index) {
    switch (index % 5) {
      case 0:
        servers[index]->mHasAnnouncedLeaving = true;
        break;
      case 1:
        servers[index]->mPausedUntil = mNow + seconds{ 100 };
        break;
      case 2:
        servers[index]->mLimit.Apply(mNow, 5, mNow);
        break;
      case 3:
        servers[index]->mIsUpdating = true;
        break;
      default:
        for (int failure = 0; failure < 10; ++failure)
          servers[index]->mBreaker.OnUnreachable(mNow);
    }
  }
  for (int step = 0; step < 20; ++step) {
    tracked_server const* const chosen = Step(5);
    for (std::size_t index = 5; index < kServers; ++index)
      EXPECT_NE(chosen, servers[index]) << index;
  }
}

// Guards against many probes of the same server, and against instances that all
// probe the same one.
TEST_F(TestProbeSchedule, ChoosesServersWithOldReportsAtRandom)
{
  std::map<tracked_server const*, int> probes;
  for (int step = 0; step < 2'000; ++step) {
    std::optional<reported_load> const before = Servers()[0]->mLoad;
    tracked_server* const chosen = Step(5, true);
    if (chosen == Servers()[0] && before) {
      EXPECT_GT(mNow - before->mReportedAt, milliseconds{ 250 });
    }
    if (chosen != nullptr)
      ++probes[chosen];
  }
  EXPECT_EQ(probes.size(), kServers);
  probe_schedule other{ 8 };
  std::set<backend_server_id> firsts;
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    probe_schedule schedule{ seed * 7'919 };
    schedule.OnSent(kPool);
    tracked_server const* const first =
      schedule.Choose(mNow + seconds{ 5 }, kPool, Servers());
    ASSERT_NE(first, nullptr);
    firsts.insert(first->mRegistered.mId);
  }
  EXPECT_GE(firsts.size(), 10U);
}

TEST_F(TestProbeSchedule, ProbesAServerOnceAtATime)
{
  std::set<backend_server_id> running;
  for (int step = 0; step < 400; ++step) {
    mNow += kStep;
    mSchedule.OnSent(kPool);
    tracked_server const* const chosen =
      mSchedule.Choose(mNow, kPool, Servers());
    if (chosen != nullptr) {
      EXPECT_TRUE(running.insert(chosen->mRegistered.mId).second);
    }
  }
  EXPECT_EQ(running.size(), kServers);
}

}
}
