#include <LibEvents/EventRateLimit.h>

#include <gtest/gtest.h>

#include <chrono>

namespace lycheeseam {
namespace {

using std::chrono::milliseconds;

instant const kNow{ std::chrono::seconds{ 100 } };

TEST(TestEventRateLimit, AllowsTheBurstAndThenTheRate)
{
  event_rate_limit limit{ 10, 3 };
  for (int line = 0; line < 3; ++line)
    EXPECT_TRUE(limit.TryTake(kNow));
  EXPECT_FALSE(limit.TryTake(kNow));
  EXPECT_TRUE(limit.TryTake(kNow + milliseconds{ 100 }));
  EXPECT_FALSE(limit.TryTake(kNow + milliseconds{ 150 }));
}

TEST(TestEventRateLimit, ReportsEachDroppedLineOnce)
{
  event_rate_limit limit{ 10, 1 };
  EXPECT_TRUE(limit.TryTake(kNow));
  EXPECT_FALSE(limit.TryTake(kNow));
  EXPECT_FALSE(limit.TryTake(kNow));
  limit.OnDropped();
  EXPECT_EQ(limit.TakeDropped(), 3u);
  EXPECT_EQ(limit.TakeDropped(), 0u);
}

}
}
