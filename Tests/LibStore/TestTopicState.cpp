#include <LibStore/TopicState.h>

#include <gtest/gtest.h>

namespace lycheeseam {

namespace {

store_position
At(std::uint64_t aOffset)
{
  return { store_era{}, aOffset };
}

keyed_record
Record(std::uint64_t aOffset, char const* aKey)
{
  return { .mPosition = At(aOffset), .mKey = aKey, .mValue = "x" };
}

keyed_record
Deleted(std::uint64_t aOffset, char const* aKey)
{
  return { .mPosition = At(aOffset), .mKey = aKey };
}

TEST(TestTopicState, ReturnsEachRecordOnce)
{
  topic_state state;
  topic_page const page{ .mRecords = { Record(0, "a"), Record(1, "b") },
                         .mEnd = At(2) };
  EXPECT_EQ(state.Apply(page, false).size(), 2U);
  EXPECT_TRUE(state.Apply(page, false).empty());
  EXPECT_TRUE(state.Apply(page, true).empty());
}

TEST(TestTopicState, CompletePageDeletesMissingKeys)
{
  topic_state state;
  (void)state.Apply(
    { .mRecords = { Record(0, "a"), Record(1, "b") }, .mEnd = At(2) }, false);
  std::vector<keyed_record> const newRecords =
    state.Apply({ .mRecords = { Record(1, "b") }, .mEnd = At(5) }, true);
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
    { .mRecords = { Record(0, "a"), Record(7, "b") }, .mEnd = At(8) }, false);
  EXPECT_TRUE(
    state.Apply({ .mRecords = { Record(0, "a") }, .mEnd = At(4) }, true)
      .empty());
}

TEST(TestTopicState, LateRecordDoesNotRestoreDeletedKey)
{
  topic_state state;
  (void)state.Apply(
    { .mRecords = { Record(0, "a"), Deleted(3, "a") }, .mEnd = At(4) }, false);
  EXPECT_TRUE(
    state.Apply({ .mRecords = { Record(2, "a") }, .mEnd = At(3) }, true)
      .empty());
  EXPECT_EQ(
    state.Apply({ .mRecords = { Record(4, "a") }, .mEnd = At(5) }, false)
      .size(),
    1U);
}

// Guards against records that are taken for known ones because their offsets
// have been given out again.
TEST(TestTopicState, RecordsOfALaterEraReplaceThoseOfAnEarlierOne)
{
  store_era const later{ 1 };
  topic_state state;
  (void)state.Apply(
    { .mRecords = { Record(6, "a"), Record(7, "b") }, .mEnd = At(8) }, false);
  keyed_record const again{ .mPosition = { later, 2 },
                            .mKey = "a",
                            .mValue = "y" };
  std::vector<keyed_record> const newRecords =
    state.Apply({ .mRecords = { again }, .mEnd = { later, 3 } }, true);
  ASSERT_EQ(newRecords.size(), 2U);
  EXPECT_EQ(newRecords[0], again);
  EXPECT_EQ(newRecords[1].mKey, "b");
  EXPECT_FALSE(newRecords[1].mValue);
  EXPECT_TRUE(
    state.Apply({ .mRecords = { Record(9, "a") }, .mEnd = At(10) }, false)
      .empty());
}

}

}
