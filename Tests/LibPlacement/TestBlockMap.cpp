#include <LibPlacement/BlockMap.h>
#include <LibPlacement/TokenEstimate.h>

#include <gtest/gtest.h>

#include <vector>

namespace lycheeseam {
namespace {

using namespace std::chrono_literals;

backend_server_id const kServer{ "worker-1" };
constexpr incarnation kIncarnation{ 5 };
constexpr instant kStart = instant{} + 100s;

std::vector<block_hash>
Blocks(std::uint64_t aFirst, std::size_t aCount)
{
  std::vector<block_hash> blocks;
  blocks.reserve(aCount);
  for (std::size_t index = 0; index < aCount; ++index)
    blocks.emplace_back((aFirst + index) * 0x9E3779B97F4A7C15);
  return blocks;
}

void
SendEvents(block_map& aMap,
           std::uint64_t aSequence,
           cache_change aChange,
           std::span<block_hash const> aBlocks,
           instant aNow,
           incarnation aIncarnation = kIncarnation)
{
  std::vector<cache_event> events;
  events.reserve(aBlocks.size());
  for (block_hash const block : aBlocks)
    events.push_back({ .mChange = aChange, .mBlock = block });
  aMap.OnEvents({ .mServer = kServer,
                  .mIncarnation = aIncarnation,
                  .mFirst = event_sequence{ aSequence },
                  .mLast = event_sequence{ aSequence },
                  .mEvents = events },
                aNow);
}

/// A map and a prompt of ten blocks.
struct map_and_prompt
{
  [[nodiscard]] std::size_t KnownBlocks(
    instant aNow,
    incarnation aIncarnation = kIncarnation) const
  {
    return static_cast<std::size_t>(
      mMap.Find(kServer, aIncarnation, mBlocks, aNow).mTokens / kBlockTokens);
  }

  block_map mMap{ { .mInitialRetention = 10s } };
  std::vector<block_hash> mBlocks = Blocks(1, 10);
};

TEST(TestBlockMap, CountsBlocksOfRequestsAndOfEvents)
{
  map_and_prompt given;
  given.mMap.OnSent(
    kServer, kIncarnation, std::span(given.mBlocks).first(4), kStart);
  EXPECT_EQ(given.KnownBlocks(kStart), 4U);
  SendEvents(given.mMap, 1, cache_change::Stored, given.mBlocks, kStart);
  EXPECT_EQ(given.KnownBlocks(kStart), 10U);
  SendEvents(given.mMap,
             2,
             cache_change::Removed,
             std::span(given.mBlocks).last(3),
             kStart);
  EXPECT_EQ(given.KnownBlocks(kStart), 7U);
}

TEST(TestBlockMap, BlocksOfAnOlderIncarnationAreNotCounted)
{
  map_and_prompt given;
  SendEvents(given.mMap, 1, cache_change::Stored, given.mBlocks, kStart);
  given.mMap.OnSent(kServer, kIncarnation, given.mBlocks, kStart);
  given.mMap.OnIncarnation(kServer, kIncarnation.Next());
  EXPECT_EQ(given.KnownBlocks(kStart), 0U);
  EXPECT_EQ(given.KnownBlocks(kStart, kIncarnation.Next()), 0U);
  // Late events and answers of the old incarnation change nothing.
  SendEvents(given.mMap, 2, cache_change::Stored, given.mBlocks, kStart);
  given.mMap.OnAnswer(kServer, kIncarnation, given.mBlocks, 2560, kStart);
  EXPECT_EQ(given.KnownBlocks(kStart), 0U);
  EXPECT_EQ(given.KnownBlocks(kStart, kIncarnation.Next()), 0U);
}

TEST(TestBlockMap, EventsOfANewIncarnationDiscardTheOldBlocks)
{
  map_and_prompt given;
  given.mMap.OnSent(kServer, kIncarnation, given.mBlocks, kStart);
  SendEvents(
    given.mMap, 1, cache_change::Stored, {}, kStart, kIncarnation.Next());
  EXPECT_EQ(given.KnownBlocks(kStart), 0U);
  EXPECT_EQ(given.KnownBlocks(kStart, kIncarnation.Next()), 0U);
}

TEST(TestBlockMap, EventsBeforeAGapAreNotCounted)
{
  map_and_prompt given;
  SendEvents(given.mMap, 1, cache_change::Stored, given.mBlocks, kStart);
  EXPECT_EQ(given.KnownBlocks(kStart), 10U);
  SendEvents(given.mMap, 3, cache_change::Stored, {}, kStart);
  EXPECT_EQ(given.KnownBlocks(kStart), 0U);
  // The batch after the gap counts, even within the same clock tick.
  SendEvents(given.mMap,
             5,
             cache_change::Stored,
             std::span(given.mBlocks).first(2),
             kStart);
  EXPECT_EQ(given.KnownBlocks(kStart), 2U);
}

TEST(TestBlockMap, ALateBatchOnlyRemoves)
{
  map_and_prompt given;
  SendEvents(given.mMap,
             3,
             cache_change::Stored,
             std::span(given.mBlocks).first(5),
             kStart);
  SendEvents(given.mMap, 2, cache_change::Stored, given.mBlocks, kStart);
  EXPECT_EQ(given.KnownBlocks(kStart), 5U);
  SendEvents(given.mMap,
             1,
             cache_change::Removed,
             std::span(given.mBlocks).subspan(3, 1),
             kStart);
  EXPECT_EQ(given.KnownBlocks(kStart), 3U);
}

TEST(TestBlockMap, EventsOfAnUnresponsiveStreamAreNotCounted)
{
  map_and_prompt given;
  SendEvents(given.mMap, 1, cache_change::Stored, given.mBlocks, kStart);
  EXPECT_EQ(given.KnownBlocks(kStart + 4s), 10U);
  EXPECT_EQ(given.KnownBlocks(kStart + 6s), 0U);
  SendEvents(given.mMap, 2, cache_change::Stored, {}, kStart + 6s);
  EXPECT_EQ(given.KnownBlocks(kStart + 6s), 10U);
}

TEST(TestBlockMap, RequestsCountDespiteAGapUntilTheRetentionEnds)
{
  map_and_prompt given;
  given.mMap.OnSent(kServer, kIncarnation, given.mBlocks, kStart);
  SendEvents(given.mMap, 1, cache_change::Stored, {}, kStart);
  SendEvents(given.mMap, 3, cache_change::Stored, {}, kStart);
  EXPECT_EQ(given.KnownBlocks(kStart + 9s), 10U);
  EXPECT_EQ(given.KnownBlocks(kStart + 11s), 0U);
}

TEST(TestBlockMap, AnswersCorrectTheRetention)
{
  map_and_prompt given;
  for (int request = 0; request < 30; ++request) {
    instant const now = kStart + request * 3s;
    given.mMap.OnSent(kServer, kIncarnation, given.mBlocks, now);
    // The engine had less cached than expected, so it evicts faster.
    given.mMap.OnAnswer(kServer, kIncarnation, given.mBlocks, 0, now + 1s);
  }
  EXPECT_EQ(given.KnownBlocks(kStart + 29 * 3s + 1500ms), 10U);
  // The last answer confirmed the blocks at 1 s; by 3.3 s the retention has
  // passed.
  EXPECT_EQ(given.KnownBlocks(kStart + 29 * 3s + 3300ms), 0U);
}

TEST(TestBlockTable, SizeIsBoundedAndFewEntriesAreLostAtThePlannedNumber)
{
  constexpr std::size_t kEntries = 50'000;
  block_map map{ { .mEntries = kEntries } };
  EXPECT_LE(map.Bytes(), kEntries * 26);
  std::vector<block_hash> const blocks = Blocks(1, kEntries);
  map.OnSent(kServer, kIncarnation, blocks, kStart);
  std::size_t found = 0;
  for (block_hash const& block : blocks) {
    if (map.Find(kServer, kIncarnation, std::span{ &block, 1 }, kStart)
          .mTokens > 0)
      ++found;
  }
  EXPECT_GE(found, kEntries * 95 / 100);
}

}
}
