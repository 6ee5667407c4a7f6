#include <LibGateway/JudgeAnswer.h>
#include <LibGateway/RunLimits.h>

#include <gtest/gtest.h>

#include <chrono>

namespace lycheeseam {
namespace {

using std::chrono::milliseconds;

instant const kNow{ std::chrono::seconds{ 100 } };

TEST(TestJudgeAnswer, OnlyASignedSuccessGoesToTheCaller)
{
  answer_head const success{ .mStatus = 200 };
  EXPECT_EQ(JudgeAnswer(success, { .mIsSigned = true }, false),
            attempt_outcome::Taken);
  EXPECT_EQ(JudgeAnswer(success, {}, false), attempt_outcome::Spoiled);
}

TEST(TestJudgeAnswer, AServersFailureIsReplacedWhereItMayBe)
{
  answer_head const failure{ .mStatus = 500 };
  EXPECT_EQ(JudgeAnswer(failure, {}, true), attempt_outcome::Failed);
  EXPECT_EQ(JudgeAnswer(failure, {}, false), attempt_outcome::Taken);
}

TEST(TestJudgeAnswer, WhatHasNotRunIsNoAnswer)
{
  answer_head const full{ .mStatus = 503 };
  EXPECT_EQ(JudgeAnswer(full, { .mIsNotRun = true }, false),
            attempt_outcome::NotRun);
  EXPECT_EQ(JudgeAnswer(full, { .mIsMisdirected = true }, false),
            attempt_outcome::NotRun);
}

class TestRunLimits : public testing::Test
{
protected:
  dispatch_route mRoute{ .mKind = request_kind::Idempotent,
                         .mTargetLatency = milliseconds{ 80 },
                         .mMaxAttempts = 2 };
  admitted_request mRows{ .mRoute = &mRoute,
                          .mDeadline = kNow + milliseconds{ 500 } };
  run_trace mTrace{ .mStartedAt = kNow, .mSends = 1 };
};

TEST_F(TestRunLimits, WhatMayHaveRunIsRepeatedWithinTheRoutesAttempts)
{
  EXPECT_TRUE(MayRepeat(mRows, mTrace, kNow));
  mTrace.mSends = 2;
  EXPECT_FALSE(MayRepeat(mRows, mTrace, kNow));
  mTrace.mSends = 1;
  mRoute.mKind = request_kind::NonIdempotent;
  EXPECT_FALSE(MayRepeat(mRows, mTrace, kNow));
}

TEST_F(TestRunLimits, NothingIsSentShortlyBeforeTheDeadline)
{
  EXPECT_FALSE(IsTooLate(mRows, kNow + milliseconds{ 490 }));
  EXPECT_TRUE(IsTooLate(mRows, kNow + milliseconds{ 491 }));
  EXPECT_FALSE(MayRepeat(mRows, mTrace, kNow + milliseconds{ 490 }));
}

TEST_F(TestRunLimits, WhatHasNotRunMayGoToTwoMore)
{
  mRoute.mKind = request_kind::NonIdempotent;
  mTrace.mSends = 3;
  EXPECT_TRUE(MaySendElsewhere(mRows, mTrace));
  mTrace.mSends = 4;
  EXPECT_FALSE(MaySendElsewhere(mRows, mTrace));
}

TEST_F(TestRunLimits, APlaceIsWaitedForDuringAnEighthOfTheTarget)
{
  EXPECT_TRUE(MayWaitForPlace(mRows, mTrace, kNow + milliseconds{ 10 }));
  EXPECT_FALSE(MayWaitForPlace(mRows, mTrace, kNow + milliseconds{ 11 }));
}

}
}
