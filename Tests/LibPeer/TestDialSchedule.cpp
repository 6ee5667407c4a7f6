#include <LibPeer/DialSchedule.h>

#include <gtest/gtest.h>

namespace lycheeseam {
namespace {

using std::chrono::milliseconds;

constexpr dial_options kOptions{ .mMinBackoff = milliseconds{ 100 },
                                 .mMaxBackoff = milliseconds{ 1000 } };

peer_contact const kPeer{ .mAddress = endpoint::Parse("10.0.0.1:1") };

// The backoff until the next dial is due, to the millisecond.
milliseconds
Backoff(dial_schedule& aSchedule, instant aFrom)
{
  for (milliseconds backoff{ 0 };; ++backoff) {
    if (!aSchedule.TakeDue(aFrom + backoff).empty())
      return backoff;
  }
}

TEST(TestDialSchedule, BackoffDoublesWithJitterUpToTheMaximum)
{
  dial_schedule schedule{ kOptions, 1 };
  schedule.SetPeers(std::span{ &kPeer, 1 });
  instant now{};
  EXPECT_EQ(schedule.TakeDue(now).size(), 1u);
  EXPECT_TRUE(schedule.TakeDue(now).empty());
  for (int const longest : { 100, 200, 400, 800, 1000, 1000 }) {
    schedule.OnClosed(kPeer.mAddress, now);
    milliseconds const backoff = Backoff(schedule, now);
    EXPECT_GE(backoff, milliseconds{ longest / 2 });
    EXPECT_LE(backoff, milliseconds{ longest + 1 });
    now += backoff;
  }
  schedule.OnUp(kPeer.mAddress);
  schedule.OnClosed(kPeer.mAddress, now);
  EXPECT_LE(Backoff(schedule, now), milliseconds{ 101 });
}

// Without jitter, all instances would dial a restarted peer at the same moment.
TEST(TestDialSchedule, BackoffsOfDifferentSeedsAreSpreadOut)
{
  std::set<milliseconds> backoffs;
  for (std::uint32_t seed = 0; seed < 50; ++seed) {
    dial_schedule schedule{ kOptions, seed };
    schedule.SetPeers(std::span{ &kPeer, 1 });
    EXPECT_EQ(schedule.TakeDue(instant{}).size(), 1u);
    schedule.OnClosed(kPeer.mAddress, instant{});
    backoffs.insert(Backoff(schedule, instant{}));
  }
  EXPECT_GT(backoffs.size(), 20u);
}

TEST(TestDialSchedule, RemovedPeersAreNotDialled)
{
  dial_schedule schedule{ kOptions, 1 };
  schedule.SetPeers(std::span{ &kPeer, 1 });
  schedule.SetPeers({});
  EXPECT_TRUE(schedule.TakeDue(instant{}).empty());
  schedule.OnClosed(kPeer.mAddress, instant{});
}

}
}
