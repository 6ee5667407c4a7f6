#include <LibStore/TopicState.h>

#include <gtest/gtest.h>

namespace lycheeseam {

namespace {

keyed_record
Record(std::uint64_t aOffset, char const* aKey)
{
  return { .mOffset = aOffset, .mKey = aKey, .mValue = "x" };
}

keyed_record
Dropped(std::uint64_t aOffset, char const* aKey)
{
  return { .mOffset = aOffset, .mKey = aKey };
}

TEST(TestTopicState, EachRecordIsNewsOnce)
{
  topic_state state;
  topic_page const page{ .mRecords = { Record(0, "a"), Record(1, "b") },
                         .mEnd = 2 };
  EXPECT_EQ(state.Take(page, false).size(), 2U);
  EXPECT_TRUE(state.Take(page, false).empty());
  EXPECT_TRUE(state.Take(page, true).empty());
}

TEST(TestTopicState, AWholePageDropsWhatItLacks)
{
  topic_state state;
  (void)state.Take(
    { .mRecords = { Record(0, "a"), Record(1, "b") }, .mEnd = 2 }, false);
  std::vector<keyed_record> const news =
    state.Take({ .mRecords = { Record(1, "b") }, .mEnd = 5 }, true);
  ASSERT_EQ(news.size(), 1U);
  EXPECT_EQ(news[0].mKey, "a");
  EXPECT_FALSE(news[0].mValue);
}

// Found on scale-2: reads that lagged took living servers for gone.
TEST(TestTopicState, AWholePageThatLagsDropsNothingNewer)
{
  topic_state state;
  (void)state.Take(
    { .mRecords = { Record(0, "a"), Record(7, "b") }, .mEnd = 8 }, false);
  EXPECT_TRUE(
    state.Take({ .mRecords = { Record(0, "a") }, .mEnd = 4 }, true).empty());
}

TEST(TestTopicState, ALateRecordDoesNotBringBackADroppedKey)
{
  topic_state state;
  (void)state.Take(
    { .mRecords = { Record(0, "a"), Dropped(3, "a") }, .mEnd = 4 }, false);
  EXPECT_TRUE(
    state.Take({ .mRecords = { Record(2, "a") }, .mEnd = 3 }, true).empty());
  EXPECT_EQ(
    state.Take({ .mRecords = { Record(4, "a") }, .mEnd = 5 }, false).size(),
    1U);
}

}

}
