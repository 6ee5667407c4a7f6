#include <LibOnce/ClaimFold.h>

#include <gtest/gtest.h>

namespace lycheeseam {
namespace {

request_key const kKey{ workspace_id{ "riga" },
                        idempotency_key{ "booking-1" } };

record_origin
Origin(char const* aWho, std::uint64_t aLastOffset = 1'000'000)
{
  return { .mInstance = instance_id{ aWho },
           .mIncarnation = incarnation{ 1 },
           .mLastOffset = log_offset{ aLastOffset } };
}

log_entry
Claim(std::uint64_t aOffset,
      char const* aWho,
      std::uint64_t aNumber,
      std::uint64_t aLastOffset = 1'000'000)
{
  request_claim_batch batch{ .mOrigin = Origin(aWho, aLastOffset) };
  batch.mClaims.push_back({ .mKey = kKey, .mNumber = claim_number{ aNumber } });
  return { .mOffset = log_offset{ aOffset }, .mRecord = batch };
}

log_entry
Outcome(std::uint64_t aOffset,
        char const* aWho,
        std::uint64_t aNumber,
        verdict aVerdict,
        std::string aBody = {})
{
  request_outcome_batch batch{ .mOrigin = Origin(aWho) };
  batch.mOutcomes.push_back({ .mKey = kKey,
                              .mNumber = claim_number{ aNumber },
                              .mVerdict = aVerdict,
                              .mBody = std::move(aBody) });
  return { .mOffset = log_offset{ aOffset }, .mRecord = batch };
}

instance_id
Holder(claim_fold const& aFold)
{
  claim_entry const* const entry = aFold.Find(kKey);
  return entry == nullptr ? instance_id{} : entry->mClaim.mOwner.mInstance;
}

TEST(TestClaimFold, TheFirstClaimInLogOrderWins)
{
  claim_fold fold;
  fold.Apply(Claim(1, "a", 1));
  fold.Apply(Claim(2, "b", 1));
  EXPECT_EQ(Holder(fold), instance_id{ "a" });
}

TEST(TestClaimFold, AReleaseCountsBeforeOrAfterItsClaim)
{
  claim_fold after;
  after.Apply(Claim(1, "a", 1));
  after.Apply(Outcome(2, "a", 1, verdict::NotRun));
  EXPECT_EQ(Holder(after), instance_id{});
  claim_fold before;
  before.Apply(Outcome(1, "a", 1, verdict::NotRun));
  before.Apply(Claim(2, "a", 1));
  EXPECT_EQ(Holder(before), instance_id{});
  before.Apply(Claim(3, "a", 2));
  EXPECT_EQ(Holder(before), instance_id{ "a" });
}

// An append that is retried may land twice. The second copy must not take the
// key again, since its owner has given the request up.
TEST(TestClaimFold, AReleasedClaimStaysReleasedWhenAppendedTwice)
{
  claim_fold fold;
  fold.Apply(Claim(1, "a", 1));
  fold.Apply(Outcome(2, "a", 1, verdict::NotRun));
  fold.Apply(Claim(3, "a", 1));
  EXPECT_EQ(Holder(fold), instance_id{});
}

TEST(TestClaimFold, IgnoresOutcomesOfOtherOwners)
{
  claim_fold fold;
  fold.Apply(Claim(1, "a", 1));
  fold.Apply(Outcome(2, "b", 1, verdict::NotRun));
  fold.Apply(Outcome(3, "b", 1, verdict::Ran));
  EXPECT_EQ(Holder(fold), instance_id{ "a" });
  EXPECT_FALSE(fold.Find(kKey)->mOutcome);
}

TEST(TestClaimFold, IgnoresOutcomesAfterTheFirst)
{
  claim_fold fold;
  fold.Apply(Claim(1, "a", 1));
  fold.Apply(Outcome(2, "a", 1, verdict::Ran, "first"));
  fold.Apply(Outcome(3, "a", 1, verdict::NotRun));
  fold.Apply(Outcome(4, "a", 1, verdict::Ran, "second"));
  EXPECT_EQ(fold.Find(kKey)->mOutcome->mBody, "first");
}

TEST(TestClaimFold, IgnoresAClaimBeyondItsLastOffset)
{
  claim_fold fold;
  fold.Apply(Claim(11, "a", 1, 10));
  EXPECT_EQ(Holder(fold), instance_id{});
}

TEST(TestClaimFold, ExpiresAClaimRightAfterItsWindow)
{
  claim_fold fold{ { .mOffsets = 100, .mMaxClaims = 1 } };
  fold.Apply(Claim(1, "a", 1));
  EXPECT_TRUE(fold.IsFull());
  fold.Apply({ .mOffset = log_offset{ 101 }, .mRecord = no_operation{} });
  EXPECT_EQ(Holder(fold), instance_id{ "a" });
  fold.Apply({ .mOffset = log_offset{ 102 }, .mRecord = no_operation{} });
  EXPECT_EQ(fold.Size(), 0U);
}

TEST(TestClaimFold, KeepsTheVerdictWhenItDropsTheAnswer)
{
  claim_fold fold{ { .mMaxTotalBodyBytes = 10 } };
  fold.Apply(Claim(1, "a", 1));
  fold.Apply(Outcome(2, "a", 1, verdict::Ran, "a long answer"));
  EXPECT_EQ(fold.Find(kKey)->mOutcome->mVerdict, verdict::Ran);
  EXPECT_TRUE(fold.Find(kKey)->mOutcome->mBody.empty());
  EXPECT_EQ(fold.BodyBytes(), 0U);
}

}
}
