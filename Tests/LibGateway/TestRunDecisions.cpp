#include <LibGateway/JudgeAnswer.h>
#include <LibGateway/RunLimits.h>

#include <gtest/gtest.h>

#include <chrono>

namespace lycheeseam {
namespace {

using std::chrono::milliseconds;

instant const kNow{ std::chrono::seconds{ 100 } };

TEST(TestJudgeAnswer, AcceptsSuccessOnlyWithServerStamp)
{
  answer_head const success{ .mStatus = 200 };
  EXPECT_EQ(JudgeAnswer(success, { .mHasServerStamp = true }, false),
            attempt_outcome::Accepted);
  EXPECT_EQ(JudgeAnswer(success, {}, false), attempt_outcome::Invalid);
}

TEST(TestJudgeAnswer, FailureIsAcceptedUnlessReplaceable)
{
  answer_head const failure{ .mStatus = 500 };
  EXPECT_EQ(JudgeAnswer(failure, {}, true), attempt_outcome::Failed);
  EXPECT_EQ(JudgeAnswer(failure, {}, false), attempt_outcome::Accepted);
}

TEST(TestJudgeAnswer, RefusedOrMisdirectedRequestHasNotRun)
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
  admitted_request mAdmitted{ .mRoute = &mRoute,
                              .mDeadline = kNow + milliseconds{ 500 } };
  run_trace mTrace{ .mStartedAt = kNow,
                    .mSends = 1,
                    .mArrivals = 1,
                    .mRuns = 1 };
};

TEST_F(TestRunLimits, RetriesIdempotentRequestWithinMaxAttempts)
{
  EXPECT_TRUE(MayRetry(mAdmitted, 1, kNow));
  EXPECT_FALSE(MayRetry(mAdmitted, 2, kNow));
  mRoute.mKind = request_kind::NonIdempotent;
  EXPECT_FALSE(MayRetry(mAdmitted, 1, kNow));
}

TEST_F(TestRunLimits, AllowsNoAttemptShortlyBeforeDeadline)
{
  EXPECT_FALSE(IsTooLate(mAdmitted, kNow + milliseconds{ 490 }));
  EXPECT_TRUE(IsTooLate(mAdmitted, kNow + milliseconds{ 491 }));
  EXPECT_FALSE(MayRetry(mAdmitted, 1, kNow + milliseconds{ 490 }));
}

TEST_F(TestRunLimits, RequestThatDidNotRunMayReachTwoMoreServers)
{
  mRoute.mKind = request_kind::NonIdempotent;
  mTrace = { .mStartedAt = kNow, .mSends = 3, .mArrivals = 3 };
  EXPECT_TRUE(MayTryAnotherServer(mAdmitted, mTrace));
  mTrace = { .mStartedAt = kNow, .mSends = 4, .mArrivals = 4 };
  EXPECT_FALSE(MayTryAnotherServer(mAdmitted, mTrace));
}

TEST_F(TestRunLimits, FailedConnectionsAreNoArrivals)
{
  mTrace = { .mStartedAt = kNow, .mSends = 5 };
  EXPECT_TRUE(MayTryAnotherServer(mAdmitted, mTrace));
  mTrace = { .mStartedAt = kNow, .mSends = 6 };
  EXPECT_FALSE(MayTryAnotherServer(mAdmitted, mTrace));
}

TEST_F(TestRunLimits, WaitsForCapacityUpToAnEighthOfTargetLatency)
{
  EXPECT_TRUE(MayWaitForCapacity(mAdmitted, mTrace, kNow + milliseconds{ 10 }));
  EXPECT_FALSE(
    MayWaitForCapacity(mAdmitted, mTrace, kNow + milliseconds{ 11 }));
}

}
}
