#include <LibLimits/SlotRelease.h>

#include <gtest/gtest.h>

namespace lycheeseam {
namespace {

using std::chrono::milliseconds;

instance_identity const kSelf{ instance_id{ "new" }, incarnation{ 4 } };
instant const kReadAt{ std::chrono::seconds{ 100 } };

/// This instance has taken slot 1 over from "old" by the claim at offset 9.
slot_fold
TakenOver()
{
  slot_fold fold{ { .mSlots = 3 } };
  fold.Restore(
    { { slot_id{ 1 },
        { .mInstance = kSelf.mInstance,
          .mIncarnation = kSelf.mIncarnation,
          .mClaim = log_offset{ 9 },
          .mFormerHolders = { instance_id{ "old" }, kSelf.mInstance } } } });
  return fold;
}

quorum_answer
Answer(char const* aFrom,
       std::uint64_t aSlot,
       instant aProbeSentAt,
       std::uint64_t aFolded,
       std::vector<instance_id> aSilent)
{
  return { .mFrom = { instance_id{ aFrom }, incarnation{ 1 } },
           .mTo = kSelf,
           .mProbeSentAt = aProbeSentAt,
           .mSlots = { slot_id{ aSlot } },
           .mFolded = log_offset{ aFolded },
           .mUnresponsive = std::move(aSilent) };
}

class slot_release_test : public testing::Test
{
protected:
  slot_release_test() { mRelease.OnSlots(kReadAt, TakenOver()); }

  slot_release mRelease{ kSelf, {} };
  std::vector<instance_id> mOld{ instance_id{ "old" } };
  std::vector<slot_id> mSlot{ slot_id{ 1 } };
};

TEST_F(slot_release_test, StaysClosedUntilTheFormerHolderReleasesIt)
{
  EXPECT_TRUE(mRelease.TakeReleased(kReadAt + milliseconds{ 10 }).empty());
  EXPECT_TRUE(mRelease.IsWaiting());
}

TEST_F(slot_release_test, OpensWhenTheFormerHolderHasFoldedTheClaim)
{
  mRelease.OnQuorumAnswer(Answer("old", 2, kReadAt, 8, {}));
  EXPECT_TRUE(mRelease.TakeReleased(kReadAt).empty());
  mRelease.OnQuorumAnswer(Answer("old", 2, kReadAt, 9, {}));
  EXPECT_EQ(mRelease.TakeReleased(kReadAt), mSlot);
  EXPECT_TRUE(mRelease.TakeReleased(kReadAt).empty());
}

TEST_F(slot_release_test, OpensWhenAMajorityReportsTheFormerHolderUnresponsive)
{
  mRelease.OnQuorumAnswer(Answer("b", 2, kReadAt, 1, mOld));
  EXPECT_TRUE(mRelease.TakeReleased(kReadAt).empty());
  mRelease.OnQuorumAnswer(Answer("c", 3, kReadAt, 1, mOld));
  EXPECT_EQ(mRelease.TakeReleased(kReadAt), mSlot);
}

TEST_F(slot_release_test, IgnoresAnswersToProbesSentBeforeTheClaimWasRead)
{
  mRelease.OnQuorumAnswer(Answer("b", 2, kReadAt - milliseconds{ 1 }, 1, mOld));
  mRelease.OnQuorumAnswer(Answer("c", 3, kReadAt, 1, mOld));
  EXPECT_TRUE(mRelease.TakeReleased(kReadAt).empty());
}

TEST_F(slot_release_test, IgnoresExpiredAnswers)
{
  mRelease.OnQuorumAnswer(Answer("b", 2, kReadAt, 1, mOld));
  mRelease.OnQuorumAnswer(Answer("c", 3, kReadAt, 1, mOld));
  duration const late = budget_timing{}.mAnswerBound + milliseconds{ 1 };
  EXPECT_TRUE(mRelease.TakeReleased(kReadAt + late).empty());
}

}
}
