#include <LibPeer/DialSchedule.h>

#include <gtest/gtest.h>

namespace lycheeseam {
namespace {

using std::chrono::milliseconds;

constexpr dial_options kOptions{ .mMinBackoff = milliseconds{ 100 },
                                 .mMaxBackoff = milliseconds{ 1000 } };

peer_contact const kPeer{ .mAddress = endpoint::Parse("10.0.0.1:1") };

// The pause before the next dial becomes due, to the millisecond.
milliseconds
Pause(dial_schedule& aSchedule, instant aFrom)
{
  for (milliseconds pause{ 0 };; ++pause) {
    if (!aSchedule.TakeDue(aFrom + pause).empty())
      return pause;
  }
}

TEST(TestDialSchedule, PausesDoubleWithJitter)
{
  dial_schedule schedule{ kOptions, 1 };
  schedule.SetWanted(std::span{ &kPeer, 1 });
  instant now{};
  EXPECT_EQ(schedule.TakeDue(now).size(), 1u);
  EXPECT_TRUE(schedule.TakeDue(now).empty());
  for (int const most : { 100, 200, 400, 800, 1000, 1000 }) {
    schedule.OnClosed(kPeer.mAddress, now);
    milliseconds const pause = Pause(schedule, now);
    EXPECT_GE(pause, milliseconds{ most / 2 });
    EXPECT_LE(pause, milliseconds{ most + 1 });
    now += pause;
  }
  schedule.OnUp(kPeer.mAddress);
  schedule.OnClosed(kPeer.mAddress, now);
  EXPECT_LE(Pause(schedule, now), milliseconds{ 101 });
}

TEST(TestDialSchedule, AHerdDoesNotReturnAsOne)
{
  std::set<milliseconds> pauses;
  for (std::uint32_t seed = 0; seed < 50; ++seed) {
    dial_schedule schedule{ kOptions, seed };
    schedule.SetWanted(std::span{ &kPeer, 1 });
    EXPECT_EQ(schedule.TakeDue(instant{}).size(), 1u);
    schedule.OnClosed(kPeer.mAddress, instant{});
    pauses.insert(Pause(schedule, instant{}));
  }
  EXPECT_GT(pauses.size(), 20u);
}

TEST(TestDialSchedule, UnwantedPeersAreForgotten)
{
  dial_schedule schedule{ kOptions, 1 };
  schedule.SetWanted(std::span{ &kPeer, 1 });
  schedule.SetWanted({});
  EXPECT_TRUE(schedule.TakeDue(instant{}).empty());
  schedule.OnClosed(kPeer.mAddress, instant{});
}

}
}
