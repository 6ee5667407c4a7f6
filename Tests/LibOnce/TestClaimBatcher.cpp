#include <LibOnce/ClaimBatcher.h>

#include <gtest/gtest.h>

namespace lycheeseam {
namespace {

using std::chrono::milliseconds;

instant const kNow{ std::chrono::seconds{ 9 } };
instance_identity const kSelf{ instance_id{ "a" }, incarnation{ 1 } };

TEST(TestClaimBatcher, BatchesClaimsUntilTheDelayHasPassed)
{
  claim_batcher batcher{ kSelf, {} };
  for (std::uint64_t i = 0; i < 50; ++i)
    batcher.Add(kNow, request_claim{ .mNumber = claim_number{ i } });
  EXPECT_TRUE(batcher.Due(kNow, log_offset{ 7 }).empty());
  EXPECT_EQ(batcher.NextWake(), kNow + milliseconds{ 20 });
  std::vector<log_record> const records =
    batcher.Due(kNow + milliseconds{ 20 }, log_offset{ 7 });
  ASSERT_EQ(records.size(), 1U);
  request_claim_batch const& batch =
    std::get<request_claim_batch>(records.front());
  EXPECT_EQ(batch.mClaims.size(), 50U);
  EXPECT_EQ(batch.mOrigin.mLastOffset, log_offset{ 5007 });
  EXPECT_EQ(batcher.NextWake(), std::nullopt);
}

TEST(TestClaimBatcher, AppendsAFullBatchWithoutDelay)
{
  claim_batcher batcher{ kSelf, { .mFlushEntries = 2 } };
  batcher.Add(kNow, request_claim{});
  batcher.Add(kNow, request_claim{});
  EXPECT_EQ(batcher.Due(kNow, log_offset{}).size(), 1U);
}

TEST(TestClaimBatcher, AppendsOutcomesUntilTheyAreReadBack)
{
  claim_batcher batcher{ kSelf, {} };
  batcher.Add(kNow, request_outcome{ .mVerdict = verdict::Ran });
  instant const due = kNow + milliseconds{ 20 };
  std::vector<log_record> const first = batcher.Due(due, log_offset{});
  ASSERT_EQ(first.size(), 1U);
  EXPECT_TRUE(batcher.Due(due + milliseconds{ 10 }, log_offset{}).empty());
  instant const retry = due + batch_limits{}.mRetryAfter;
  EXPECT_EQ(batcher.Due(retry, log_offset{}), first);
  batcher.OnEntry({ .mOffset = log_offset{ 1 }, .mRecord = first.front() });
  EXPECT_EQ(batcher.NextWake(), std::nullopt);
}

TEST(TestClaimBatcher, DropsAnAnswerBodyAboveTheLimit)
{
  claim_batcher batcher{ kSelf, { .mMaxBodyBytes = 3 } };
  batcher.Add(kNow, request_outcome{ .mBody = "long" });
  std::vector<log_record> const records =
    batcher.Due(kNow + milliseconds{ 20 }, log_offset{});
  request_outcome_batch const& batch =
    std::get<request_outcome_batch>(records.front());
  EXPECT_TRUE(batch.mOutcomes.front().mBody.empty());
}

}
}
