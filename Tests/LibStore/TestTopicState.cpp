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
Deleted(std::uint64_t aOffset, char const* aKey)
{
  return { .mOffset = aOffset, .mKey = aKey };
}

TEST(TestTopicState, ReturnsEachRecordOnce)
{
  topic_state state;
  topic_page const page{ .mRecords = { Record(0, "a"), Record(1, "b") },
                         .mEnd = 2 };
  EXPECT_EQ(state.Apply(page, false).size(), 2U);
  EXPECT_TRUE(state.Apply(page, false).empty());
  EXPECT_TRUE(state.Apply(page, true).empty());
}

TEST(TestTopicState, CompletePageDeletesMissingKeys)
{
  topic_state state;
  (void)state.Apply(
    { .mRecords = { Record(0, "a"), Record(1, "b") }, .mEnd = 2 }, false);
  std::vector<keyed_record> const newRecords =
    state.Apply({ .mRecords = { Record(1, "b") }, .mEnd = 5 }, true);
  ASSERT_EQ(newRecords.size(), 1U);
  EXPECT_EQ(newRecords[0].mKey, "a");
  EXPECT_FALSE(newRecords[0].mValue);
}

// Guards against the removal of live servers. On scale-2 complete pages from
// lagging reads lacked newer records, whose servers were taken for removed.
TEST(TestTopicState, LaggingCompletePageDeletesNoNewerKeys)
{
  topic_state state;
  (void)state.Apply(
    { .mRecords = { Record(0, "a"), Record(7, "b") }, .mEnd = 8 }, false);
  EXPECT_TRUE(
    state.Apply({ .mRecords = { Record(0, "a") }, .mEnd = 4 }, true).empty());
}

TEST(TestTopicState, LateRecordDoesNotRestoreDeletedKey)
{
  topic_state state;
  (void)state.Apply(
    { .mRecords = { Record(0, "a"), Deleted(3, "a") }, .mEnd = 4 }, false);
  EXPECT_TRUE(
    state.Apply({ .mRecords = { Record(2, "a") }, .mEnd = 3 }, true).empty());
  EXPECT_EQ(
    state.Apply({ .mRecords = { Record(4, "a") }, .mEnd = 5 }, false).size(),
    1U);
}

}

}
