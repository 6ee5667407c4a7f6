#include <LibDispatch/RejectionLimit.h>

#include <gtest/gtest.h>

namespace lycheeseam {

namespace {

using std::chrono::seconds;

instant const kNow = instant{} + seconds{ 100 };

TEST(TestRejectionLimit, IsInForceForAWhileAfterEachAnnouncement)
{
  rejection_limit limit;
  EXPECT_FALSE(limit.IsInForce(kNow));
  limit.OnAnnounced(kNow, 4);
  EXPECT_TRUE(limit.IsInForce(kNow + seconds{ 2 }));
  EXPECT_FALSE(limit.IsInForce(kNow + seconds{ 4 }));
}

// Guards against many instances that each find out by a rejection of their own
// that a server is full.
TEST(TestRejectionLimit,
     InstancesTogetherCauseNoMoreRejectionsThanTheServerBears)
{
  rejection_limit limit;
  limit.OnAnnounced(kNow, 20);
  for (std::size_t const instances : { 1U, 8U, 84U }) {
    std::chrono::duration<double> const pause =
      limit.PauseAfterRejection(instances);
    EXPECT_LE(static_cast<double>(instances) / pause.count(), 20) << instances;
  }
}

TEST(TestRejectionLimit, PauseIsBounded)
{
  rejection_limit limit;
  limit.OnAnnounced(kNow, 0);
  EXPECT_LE(limit.PauseAfterRejection(84), seconds{ 10 });
  limit.OnAnnounced(kNow, 1e9);
  EXPECT_GE(limit.PauseAfterRejection(1), seconds{ 1 });
}

}

}
