#include <LibOnce/RetryPolicy.h>

#include <gtest/gtest.h>

namespace lycheeseam {
namespace {

TEST(TestRetryPolicy, NonIdempotentRequestIsRetriedOnlyWhenNothingWasSent)
{
  attempt_history history{ .mIdempotency = idempotency::NonIdempotent,
                           .mFailure = attempt_failure::NotSent,
                           .mUnsent = 1 };
  EXPECT_EQ(RetryTargetFor(history), retry_target::Anywhere);
  EXPECT_EQ(VerdictFor(history), verdict::NotRun);
  history.mFailure = attempt_failure::BrokenBeforeAnswer;
  history.mSent = 1;
  EXPECT_EQ(RetryTargetFor(history), retry_target::Nowhere);
  EXPECT_EQ(VerdictFor(history), verdict::MayHaveRun);
}

TEST(TestRetryPolicy, IdempotentRequestIsRetriedOnceInItsFailureDomain)
{
  attempt_history history{ .mIdempotency = idempotency::Idempotent,
                           .mFailure = attempt_failure::BrokenBeforeAnswer,
                           .mSent = 1 };
  EXPECT_EQ(RetryTargetFor(history), retry_target::SameFailureDomain);
  history.mSent = 2;
  EXPECT_EQ(RetryTargetFor(history), retry_target::Nowhere);
}

TEST(TestRetryPolicy, GivesUpAfterThreeRefusedConnections)
{
  attempt_history const history{ .mIdempotency = idempotency::Idempotent,
                                 .mFailure = attempt_failure::NotSent,
                                 .mUnsent = 3 };
  EXPECT_EQ(RetryTargetFor(history), retry_target::Nowhere);
}

TEST(TestRetryPolicy, DoesNotRetryAfterPartOfTheAnswerWasForwarded)
{
  attempt_history const history{ .mIdempotency = idempotency::Idempotent,
                                 .mFailure = attempt_failure::BrokenInAnswer,
                                 .mSent = 1 };
  EXPECT_EQ(RetryTargetFor(history), retry_target::Nowhere);
}

}
}
