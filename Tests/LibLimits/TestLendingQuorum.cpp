#include <LibLimits/LendingQuorum.h>

#include <gtest/gtest.h>

namespace lycheeseam {
namespace {

using std::chrono::milliseconds;

/// Three slots: this instance holds slot 1, others hold slots 2 and 3.
class lending_quorum_test : public testing::Test
{
protected:
  lending_quorum_test()
  {
    std::vector<slot_id> const own{ slot_id{ 1 } };
    mQuorum.OnOwnSlots(own);
  }

  static instant At(int aMilliseconds)
  {
    return instant{ std::chrono::hours{ 1 } } + milliseconds{ aMilliseconds };
  }

  void Answer(int aProbeSentAt, int aNow)
  {
    mQuorum.OnQuorumAnswer(
      At(aNow),
      { .mProbeSentAt = At(aProbeSentAt), .mSlots = { slot_id{ 2 } } });
  }

  bool MayLend(int aNow)
  {
    return mQuorum.StateAt(At(aNow)) == lending_state::Granted;
  }

  lending_quorum mQuorum{ { .mSlots = 3, .mSlotsPerWorkspace = 3 }, {} };
};

TEST_F(lending_quorum_test, DoesNotLendOnContactWithoutARead)
{
  Answer(0, 5);
  EXPECT_FALSE(MayLend(5));
}

TEST_F(lending_quorum_test, LendsForTheConfirmBoundAfterARead)
{
  mQuorum.OnTailRead(At(0));
  EXPECT_TRUE(MayLend(1000));
  EXPECT_FALSE(MayLend(1001));
}

TEST_F(lending_quorum_test, LendsDuringALogOutageWhileContactIsUnbroken)
{
  Answer(0, 5);
  mQuorum.OnTailRead(At(10));
  for (int at = 200; at < 60'000; at += 500)
    Answer(at, at + 5);
  EXPECT_TRUE(MayLend(60'000));
  EXPECT_FALSE(MayLend(70'000));
}

// Guards against lending after a break of the contact, in which another
// instance may have taken the slot over.
TEST_F(lending_quorum_test, DoesNotLendAfterABreakUntilTheNextRead)
{
  Answer(0, 5);
  mQuorum.OnTailRead(At(10));
  Answer(5000, 5005);
  EXPECT_FALSE(MayLend(5005));
  mQuorum.OnTailRead(At(5010));
  EXPECT_TRUE(MayLend(5010));
}

// Guards against lending on contact that began only after the last read: peers
// may have reported this instance unresponsive before the contact began. The
// model TokenEscrow found this failure; its fault READ_MENDS reproduces it.
TEST_F(lending_quorum_test, DoesNotLendOnContactThatBeganAfterTheRead)
{
  mQuorum.OnTailRead(At(0));
  for (int at = 500; at < 3000; at += 500)
    Answer(at, at + 5);
  EXPECT_TRUE(MayLend(900));
  EXPECT_FALSE(MayLend(1500));
}

}
}
