#include <LibDispatch/PoolPace.h>
#include <LibDispatch/ServerSpeed.h>

#include <gtest/gtest.h>

#include <chrono>

namespace lycheeseam {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kUsualPace = 100e-6;

speed_sample
Sample(milliseconds aFirstEvent, token_count aTokens = 1'000)
{
  return { .mFirstEvent = aFirstEvent, .mTokens = aTokens };
}

double
SpeedAfter(int aAnswers, speed_sample const& aSample)
{
  server_speed speed;
  for (int answer = 0; answer < aAnswers; ++answer)
    speed.Learn(aSample, kUsualPace);
  return speed.Relative();
}

TEST(TestServerSpeed, IsUsualWithoutAnswers)
{
  EXPECT_EQ(server_speed{}.Relative(), 1);
}

TEST(TestServerSpeed, ApproachesTheSpeedOfTheAnswers)
{
  EXPECT_NEAR(SpeedAfter(200, Sample(milliseconds{ 50 })), 2, 0.01);
  EXPECT_NEAR(SpeedAfter(200, Sample(milliseconds{ 200 })), 0.5, 0.01);
}

// Guards against placement that follows single answers.
TEST(TestServerSpeed, OneAnswerChangesLittle)
{
  EXPECT_NEAR(SpeedAfter(1, Sample(milliseconds{ 200 })), 1, 0.05);
  EXPECT_NEAR(SpeedAfter(1, Sample(seconds{ 30 })), 1, 0.07);
}

// Guards against a server that is taken for slow because it is busy.
TEST(TestServerSpeed, WaitingAndSlowdownExplainLateAnswers)
{
  speed_sample const waited{ .mFirstEvent = milliseconds{ 300 },
                             .mTokens = 1'000,
                             .mWaitingTokens = 2'000 };
  EXPECT_NEAR(SpeedAfter(200, waited), 1, 0.01);
  speed_sample const slowed{ .mFirstEvent = milliseconds{ 250 },
                             .mTokens = 1'000,
                             .mSlowdown = 2.5 };
  EXPECT_NEAR(SpeedAfter(200, slowed), 1, 0.01);
}

// Guards against infinite or undefined speeds.
TEST(TestServerSpeed, SamplesThatTellNothingAreIgnored)
{
  EXPECT_EQ(SpeedAfter(10, Sample(milliseconds{ 0 })), 1);
  EXPECT_EQ(SpeedAfter(10, Sample(milliseconds{ -5 })), 1);
  EXPECT_EQ(SpeedAfter(10, Sample(milliseconds{ 90 }, 0)), 1);
  server_speed speed;
  speed.Learn(Sample(milliseconds{ 90 }), 0);
  EXPECT_EQ(speed.Relative(), 1);
}

// Guards against a server that is taken for slow because it gets short prompts,
// which take longer for each token.
TEST(TestPoolPace, PromptsAreComparedWithThoseOfSimilarSize)
{
  pool_pace pace;
  speed_sample const small = Sample(milliseconds{ 80 }, 300);
  speed_sample const large = Sample(milliseconds{ 400 }, 9'000);
  pace.Learn(small, 1);
  pace.Learn(large, 1);
  EXPECT_DOUBLE_EQ(pace.Of(small), small.Pace());
  EXPECT_DOUBLE_EQ(pace.Of(large), large.Pace());
  EXPECT_EQ(pace.Of(Sample(milliseconds{ 80 }, 30)), 0);
  EXPECT_EQ(pace.Of(Sample(milliseconds{ 80 }, 0)), 0);
}

// Guards against a mean that drifts towards the servers with most answers.
TEST(TestPoolPace, IsThatOfAServerOfMeanSpeed)
{
  pool_pace pace;
  for (int answer = 0; answer < 1'000; ++answer)
    pace.Learn(Sample(milliseconds{ 50 }), 2);
  EXPECT_NEAR(pace.Of(Sample(milliseconds{ 50 })), kUsualPace, 1e-9);
}

}
}
