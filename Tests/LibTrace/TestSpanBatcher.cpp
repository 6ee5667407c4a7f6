#include <LibTrace/SpanBatcher.h>

#include <gtest/gtest.h>

namespace lycheeseam {
namespace {

using std::chrono::seconds;

constexpr duration kOneMillisecond = std::chrono::milliseconds{ 1 };
constexpr span_batch_options kOptions{ .mBatchSpans = 3,
                                       .mMaxWait = seconds{ 2 },
                                       .mMaxQueuedSpans = 5,
                                       .mMinBackoff = seconds{ 1 },
                                       .mMaxBackoff = seconds{ 3 } };

TEST(TestSpanBatcher, ExportsFullBatchesAtOnceAndOthersAfterMaxWait)
{
  span_batcher batcher{ kOptions };
  instant const start{};
  batcher.Add({}, start);
  EXPECT_TRUE(batcher.TakeBatch(start + seconds{ 1 }).empty());
  EXPECT_EQ(batcher.TakeBatch(start + seconds{ 2 }).size(), 1u);
  batcher.OnExported();
  for (int i = 0; i < 4; ++i)
    batcher.Add({}, start);
  EXPECT_EQ(batcher.TakeBatch(start).size(), 3u);
}

TEST(TestSpanBatcher, StartsNoExportWhileOneIsInProgress)
{
  span_batcher batcher{ kOptions };
  for (int i = 0; i < 5; ++i)
    batcher.Add({}, instant{});
  EXPECT_EQ(batcher.TakeBatch(instant{}).size(), 3u);
  EXPECT_TRUE(batcher.TakeBatch(instant{} + seconds{ 9 }).empty());
  batcher.OnExported();
  EXPECT_EQ(batcher.TakeBatch(instant{} + seconds{ 9 }).size(), 2u);
}

TEST(TestSpanBatcher, BacksOffAfterFailuresAndCountsDroppedSpans)
{
  span_batcher batcher{ kOptions };
  instant now{};
  for (int i = 0; i < 7; ++i)
    batcher.Add({}, now);
  EXPECT_EQ(batcher.Dropped(), 2u);
  EXPECT_EQ(batcher.TakeBatch(now).size(), 3u);
  batcher.OnFailed(3, now);
  EXPECT_EQ(batcher.Dropped(), 5u);
  // The backoff doubles with each failure, up to its maximum.
  for (seconds const pause : { seconds{ 1 }, seconds{ 2 }, seconds{ 3 } }) {
    batcher.Add({}, now - seconds{ 5 });
    EXPECT_TRUE(batcher.TakeBatch(now + pause - kOneMillisecond).empty());
    now += pause;
    std::vector<trace_span> const batch = batcher.TakeBatch(now);
    EXPECT_FALSE(batch.empty());
    batcher.OnFailed(batch.size(), now);
  }
}

}
}
