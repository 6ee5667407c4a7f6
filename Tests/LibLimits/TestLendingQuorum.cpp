#include <LibLimits/LendingQuorum.h>

#include <gtest/gtest.h>

namespace lycheeseam {
namespace {

using std::chrono::milliseconds;

/// Three slots: slot 1 is held here, slots 2 and 3 elsewhere.
class home_standing_test : public testing::Test
{
protected:
  home_standing_test()
  {
    std::vector<slot_id> const own{ slot_id{ 1 } };
    mStanding.OnOwnSlots(own);
  }

  static instant At(int aMilliseconds)
  {
    return instant{ std::chrono::hours{ 1 } } + milliseconds{ aMilliseconds };
  }

  void Word(int aProbeSentAt, int aNow)
  {
    mStanding.OnWord(
      At(aNow),
      { .mProbeSentAt = At(aProbeSentAt), .mSlots = { slot_id{ 2 } } });
  }

  bool MayLend(int aNow)
  {
    return mStanding.At(At(aNow)) == lending_state::Granted;
  }

  lending_quorum mStanding{ { .mSlots = 3, .mHomes = 3 }, {} };
};

TEST_F(home_standing_test, ContactAloneAllowsNothing)
{
  Word(0, 5);
  EXPECT_FALSE(MayLend(5));
}

TEST_F(home_standing_test, AReadAllowsLendingForItsBound)
{
  mStanding.OnTailRead(At(0));
  EXPECT_TRUE(MayLend(1000));
  EXPECT_FALSE(MayLend(1001));
}

TEST_F(home_standing_test, UnbrokenContactCarriesOnInAnOutage)
{
  Word(0, 5);
  mStanding.OnTailRead(At(10));
  for (int at = 200; at < 60'000; at += 500)
    Word(at, at + 5);
  EXPECT_TRUE(MayLend(60'000));
  EXPECT_FALSE(MayLend(70'000));
}

TEST_F(home_standing_test, ABreakLastsUntilTheNextRead)
{
  Word(0, 5);
  mStanding.OnTailRead(At(10));
  Word(5000, 5005);
  EXPECT_FALSE(MayLend(5005));
  mStanding.OnTailRead(At(5010));
  EXPECT_TRUE(MayLend(5010));
}

// The model TokenEscrow found this one: its fault READ_MENDS.
TEST_F(home_standing_test, ContactThatBeginsAfterTheReadDoesNotCarryOn)
{
  mStanding.OnTailRead(At(0));
  for (int at = 500; at < 3000; at += 500)
    Word(at, at + 5);
  EXPECT_TRUE(MayLend(900));
  EXPECT_FALSE(MayLend(1500));
}

}
}
