#include <StandIns/EngineModel/CacheEventLog.h>
#include <StandIns/EngineModel/PrefixCache.h>
#include <StandIns/EngineModel/PromptChain.h>
#include <gtest/gtest.h>

namespace lycheeseam::standin {
namespace {

using namespace std::chrono_literals;

std::vector<block_hash>
Chain(std::string_view aWorkspace, std::string const& aPrompt)
{
  return ChainBlocks(
    workspace_id{ aWorkspace }, weights_version{ "v1" }, aPrompt);
}

TEST(TestPrefixCache, MatchesOnlyCommonPrefixWithinWorkspace)
{
  std::string const shared(128, 'a');
  prefix_cache cache{ 100 };
  cache.Store(Chain("w", shared + std::string(64, 'b')));
  EXPECT_EQ(cache.Match(Chain("w", shared + std::string(64, 'c'))), 2);
  EXPECT_EQ(cache.Match(Chain("other", shared)), 0);
}

TEST(TestPrefixCache, EvictsLeastRecentlyUsedChainFromItsEnd)
{
  std::vector<block_hash> const older = Chain("w", std::string(128, 'a'));
  std::vector<block_hash> const newer = Chain("w", std::string(128, 'b'));
  prefix_cache cache{ 3 };
  cache.Store(older);
  cache.Store(newer);
  EXPECT_EQ(cache.Evict(), (std::vector<block_hash>{ older.back() }));
  EXPECT_EQ(cache.Match(older), 1);
  EXPECT_EQ(cache.Match(newer), 2);
}

TEST(TestCacheEventLog, ShowsEventsAfterDelayWithoutDroppedOnes)
{
  cache_event_log log;
  log.SetDelay(10ms);
  log.SetLostEvery(2);
  for (std::uint64_t block = 1; block <= 3; ++block)
    log.Add(cache_event_kind::Stored, { block_hash{ block } }, instant{});
  EXPECT_TRUE(log.From(event_sequence{ 1 }, instant{ 9ms }).empty());
  std::vector<cache_event> const visible =
    log.From(event_sequence{ 1 }, instant{ 10ms });
  ASSERT_EQ(visible.size(), 2);
  EXPECT_EQ(visible[1].mSequence, event_sequence{ 3 });
}

}
}
