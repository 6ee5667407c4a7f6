#include <LibPlacement/BlockShard.h>
#include <LibPlacement/LoadTracker.h>
#include <LibPlacement/LookupDeadlines.h>
#include <LibPlacement/ShardOwner.h>

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace lycheeseam {
namespace {

using namespace std::chrono_literals;

TEST(TestBlockShard, AnswersWithTheLongestPrefixesFirst)
{
  block_shard shard;
  std::vector<placement_candidate> candidates(3);
  std::vector<block_hash> const blocks{ block_hash{ 11 }, block_hash{ 12 } };
  for (std::size_t index = 0; index < 3; ++index) {
    candidates[index].mServer = backend_server_id{ std::to_string(index) };
    candidates[index].mIncarnation = incarnation{ 1 };
  }
  shard.OnUpdate({ .mServer = candidates[0].mServer,
                   .mIncarnation = incarnation{ 1 },
                   .mBlocks = { block_hash{ 11 } } },
                 instant{});
  shard.OnUpdate({ .mServer = candidates[2].mServer,
                   .mIncarnation = incarnation{ 1 },
                   .mBlocks = blocks,
                   .mCachedTokens = 0 },
                 instant{});
  block_answer const answer = shard.Answer(
    { .mNumber = lookup_number{ 4 }, .mBlocks = blocks }, candidates, {});
  EXPECT_EQ(answer.mNumber, lookup_number{ 4 });
  ASSERT_EQ(answer.mKnown.size(), 2U);
  EXPECT_EQ(answer.mKnown[0].mServer, candidates[2].mServer);
  EXPECT_EQ(answer.mKnown[0].mTokens, 512);
  EXPECT_EQ(answer.mKnown[1].mTokens, 256);
}

TEST(TestBlockShard, StoredTokensAreMultiplesOfAPiece)
{
  block_shard shard;
  std::vector<block_hash> blocks;
  blocks.reserve(20);
  for (std::uint64_t index = 1; index <= 20; ++index)
    blocks.emplace_back(index * 1000);
  shard.OnStored(blocks, instant{});
  EXPECT_EQ(shard.Answer({ .mBlocks = blocks }, {}, {}).mStoredTokens, 4096);
}

TEST(TestLookupDeadlines, AnAnswerAfterTheDeadlineHasNoRequest)
{
  lookup_deadlines lookups;
  lookup_number const first = lookups.Begin(ticket{ 1 }, instant{});
  lookup_number const second = lookups.Begin(ticket{ 2 }, instant{} + 1ms);
  EXPECT_EQ(lookups.NextDeadline(),
            instant{} + lookup_deadlines::kAnswerTimeout);
  EXPECT_EQ(lookups.Expire(instant{} + lookup_deadlines::kAnswerTimeout),
            std::vector{ ticket{ 1 } });
  EXPECT_EQ(lookups.End(first), std::nullopt);
  EXPECT_EQ(lookups.End(second), ticket{ 2 });
  EXPECT_EQ(lookups.NextDeadline(), std::nullopt);
}

TEST(TestShardOwner, RemovingAnInstanceMovesOnlyItsRoots)
{
  std::vector<instance_id> instances;
  instances.reserve(8);
  for (int index = 0; index < 8; ++index)
    instances.emplace_back("entry-" + std::to_string(index));
  std::vector<instance_id> const fewer(instances.begin(), instances.end() - 1);
  EXPECT_EQ(ShardOwner(block_hash{ 1 }, {}), nullptr);
  for (std::uint64_t key = 0; key < 200; ++key) {
    block_hash const root{ key << kOwnHashBits };
    instance_id const before = *ShardOwner(root, instances);
    instance_id const after = *ShardOwner(root, fewer);
    EXPECT_TRUE(before == after || before == instances.back());
  }
}

TEST(TestLoadTracker, AReportReplacesTokensSentBeforeIt)
{
  load_tracker tracker;
  tracker.OnSent(100, instant{} + 1s);
  tracker.OnSent(200, instant{} + 3s);
  tracker.OnReport({ .mQueuedTokens = 50, .mMeasuredAt = instant{} + 2s });
  EXPECT_EQ(tracker.SentTokens(), 200);
  EXPECT_EQ(tracker.Load().mQueuedTokens, 50);
  tracker.OnReport({ .mQueuedTokens = 9, .mMeasuredAt = instant{} + 1s });
  EXPECT_EQ(tracker.Load().mQueuedTokens, 50);
  tracker.OnRestart(instant{} + 4s);
  EXPECT_EQ(tracker.SentTokens(), 0);
}

}
}
