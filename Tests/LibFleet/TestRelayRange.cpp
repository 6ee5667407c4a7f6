#include <LibFleet/RelayRange.h>

#include <gtest/gtest.h>

namespace lycheeseam {
namespace {

using std::chrono::milliseconds;

store_position
At(std::uint64_t aOffset, std::uint64_t aEra = 0)
{
  return { store_era{ aEra }, aOffset };
}

class TestRelayRange : public testing::Test
{
protected:
  std::optional<topic_relay> Make(store_position aFrom,
                                  store_position aEnd,
                                  std::vector<keyed_record> aSelected = {})
  {
    return mRange.Make(
      mNow, store_topic::Servers, aFrom, aEnd, std::move(aSelected));
  }

  relay_range mRange;
  instant mNow{ std::chrono::seconds{ 100 } };
  std::vector<keyed_record> const mChange{ { .mKey = "engine-1" } };
};

TEST_F(TestRelayRange, RelaysWithoutRecordsAreMerged)
{
  ASSERT_TRUE(Make(At(0), At(10), mChange));
  mNow += milliseconds{ 100 };
  EXPECT_FALSE(Make(At(10), At(20)));
  mNow += milliseconds{ 60 };
  EXPECT_EQ(Make(At(20), At(30)),
            (topic_relay{ .mTopic = store_topic::Servers,
                          .mFrom = At(10),
                          .mEnd = At(30) }));
}

// Guards against topics that nobody writes to and that fill links.
TEST_F(TestRelayRange, RelayOfNothingIsNotSent)
{
  ASSERT_TRUE(Make(At(0), At(10), mChange));
  mNow += milliseconds{ 400 };
  EXPECT_FALSE(Make(At(10), At(10)));
}

// Guards against receivers that read the store because a relay without records
// was lost, or wasn't passed on by a parent of an older build.
TEST_F(TestRelayRange, RelayBeginsWhereTheLastOneWithRecordsEnded)
{
  ASSERT_TRUE(Make(At(0), At(10), mChange));
  mNow += milliseconds{ 400 };
  ASSERT_TRUE(Make(At(10), At(20)));
  EXPECT_EQ(Make(At(20), At(30), mChange)->mFrom, At(10));
  EXPECT_EQ(Make(At(30), At(40), mChange)->mFrom, At(30));
}

// Guards against an instance that becomes the reader and claims to have sent
// what it got from the reader before it, and what others may have missed.
TEST_F(TestRelayRange, RangesOfPeersAreContinued)
{
  mRange.OnApplied({ .mFrom = At(5), .mEnd = At(10), .mRecords = mChange },
                   true);
  mRange.OnApplied({ .mFrom = At(10), .mEnd = At(20) }, false);
  EXPECT_EQ(Make(At(20), At(30))->mFrom, At(10));
}

// Guards against a range that covers a snapshot that others didn't get.
TEST_F(TestRelayRange, NewRecordsOfASnapshotEndTheRange)
{
  ASSERT_TRUE(Make(At(0), At(10), mChange));
  mRange.OnApplied({ .mIsSnapshot = true, .mEnd = At(20), .mRecords = mChange },
                   true);
  mNow += milliseconds{ 400 };
  EXPECT_EQ(Make(At(20), At(30))->mFrom, At(20));
}

// Guards against a range of offsets that no log has had: offsets before a
// restore say nothing about those after it.
TEST_F(TestRelayRange, RangeDoesNotBeginInAnEarlierEra)
{
  ASSERT_TRUE(Make(At(0), At(10), mChange));
  mNow += milliseconds{ 400 };
  EXPECT_EQ(Make(At(3, 1), At(5, 1))->mFrom, At(3, 1));
}

}
}
