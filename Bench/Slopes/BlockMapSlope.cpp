#include <LibCore/Verify.h>
#include <LibPlacement/BlockShard.h>

#include <Bench/Slopes/ProcessorTimer.h>
#include <Bench/Slopes/Slopes.h>

#include <array>
#include <chrono>
#include <string>

namespace lycheeseam::bench {

namespace {

using namespace std::chrono_literals;

constexpr std::array kEntries{ std::size_t{ 10'000 },
                               std::size_t{ 100'000 },
                               std::size_t{ 424'000 } };
constexpr std::size_t kServers = 270;
constexpr std::size_t kPromptBlocks = 32;
constexpr std::size_t kOperations = 20'000;
constexpr instant kNow = instant{} + 1000s;
constexpr incarnation kIncarnation{ 1 };

std::vector<placement_candidate>
MakeServers()
{
  std::vector<placement_candidate> servers(kServers);
  for (std::size_t index = 0; index < kServers; ++index) {
    servers[index].mServer =
      backend_server_id{ "worker-" + std::to_string(index) };
    servers[index].mIncarnation = kIncarnation;
  }
  return servers;
}

/// The blocks of prompt number aPrompt. The constant, 2^64 divided by the
/// golden ratio, spreads the hashes evenly.
std::vector<block_hash>
PromptBlocks(std::size_t aPrompt)
{
  std::vector<block_hash> blocks;
  blocks.reserve(kPromptBlocks);
  for (std::size_t index = 0; index < kPromptBlocks; ++index)
    blocks.emplace_back((aPrompt * kPromptBlocks + index + 1) *
                        0x9E3779B97F4A7C15);
  return blocks;
}

/// Fills a shard with prompts that are each held by a few servers.
void
Fill(block_shard& aShard,
     std::size_t aEntries,
     std::vector<placement_candidate> const& aServers)
{
  for (std::size_t prompt = 0; prompt < aEntries / kPromptBlocks; ++prompt)
    aShard.OnUpdate({ .mServer = aServers[prompt % kServers].mServer,
                      .mIncarnation = kIncarnation,
                      .mBlocks = PromptBlocks(prompt / 4),
                      .mCachedTokens = 0 },
                    kNow);
}

double
TimeEvents(block_shard& aShard, placement_candidate const& aServer)
{
  std::vector<std::vector<cache_event>> batches;
  batches.reserve(kOperations / kPromptBlocks);
  for (std::size_t prompt = 0; prompt < kOperations / kPromptBlocks; ++prompt) {
    std::vector<cache_event>& batch = batches.emplace_back();
    for (block_hash const block : PromptBlocks(prompt))
      batch.push_back({ .mChange = prompt % 2 == 0 ? cache_change::Stored
                                                   : cache_change::Removed,
                        .mBlock = block });
  }
  event_sequence sequence;
  processor_timer const timer;
  for (std::vector<cache_event> const& batch : batches) {
    sequence = sequence.Next();
    aShard.OnEvents({ .mServer = aServer.mServer,
                      .mIncarnation = kIncarnation,
                      .mFirst = sequence,
                      .mLast = sequence,
                      .mEvents = batch },
                    kNow);
  }
  return timer.NanosecondsEach(
    static_cast<double>(batches.size() * kPromptBlocks));
}

/// Nanoseconds per lookup; -1 if no lookup found a holder. aPrompts is at least
/// one.
double
TimeLookups(block_shard const& aShard,
            std::size_t aPrompts,
            std::vector<placement_candidate> const& aServers)
{
  VERIFY(aPrompts > 0);
  std::vector<block_lookup> lookups;
  lookups.reserve(kOperations / 10);
  for (std::size_t index = 0; index < kOperations / 10; ++index)
    lookups.push_back({ .mBlocks = PromptBlocks(index * 31 % aPrompts) });
  processor_timer const timer;
  std::size_t holders = 0;
  for (block_lookup const& lookup : lookups)
    holders += aShard.Answer(lookup, aServers, kNow).mKnown.size();
  double const each =
    timer.NanosecondsEach(static_cast<double>(lookups.size()));
  return holders > 0 ? each : -1;
}

double
TimeUpdates(block_shard& aShard,
            std::size_t aPrompts,
            std::vector<placement_candidate> const& aServers)
{
  std::vector<block_update> updates;
  updates.reserve(kOperations / 10);
  for (std::size_t index = 0; index < kOperations / 10; ++index)
    updates.push_back({ .mServer = aServers[index % kServers].mServer,
                        .mIncarnation = kIncarnation,
                        .mBlocks = PromptBlocks(index * 31 % aPrompts) });
  processor_timer const timer;
  for (block_update const& update : updates)
    aShard.OnUpdate(update, kNow);
  for (block_update& update : updates) {
    update.mCachedTokens = 4096;
    aShard.OnUpdate(update, kNow);
  }
  return timer.NanosecondsEach(static_cast<double>(2 * updates.size()));
}

}

std::vector<slope_result>
MeasureBlockMap()
{
  std::vector<slope_result> results;
  std::vector<placement_candidate> const servers = MakeServers();
  for (std::size_t const entries : kEntries) {
    block_shard shard{ { .mEntries = entries } };
    Fill(shard, entries, servers);
    std::size_t const prompts = entries / kPromptBlocks / 4;
    slope_result row{ .mUnit = "entries",
                      .mSize = entries,
                      .mBytes = static_cast<double>(shard.Bytes()) };
    row.mOperation = "lookup of 32 blocks, 270 servers";
    row.mNanoseconds = TimeLookups(shard, prompts, servers);
    results.push_back(row);
    row.mOperation = "update of 32 blocks";
    row.mNanoseconds = TimeUpdates(shard, prompts, servers);
    results.push_back(row);
    row.mOperation = "event";
    row.mNanoseconds = TimeEvents(shard, servers[0]);
    results.push_back(row);
  }
  return results;
}

}
