#include <LibPlacement/BlockShard.h>
#include <LibPlacement/TokenEstimate.h>

#include <algorithm>
#include <chrono>

namespace lycheeseam {

namespace {

// The KV store has a map of its own, as one server with a fixed incarnation.
backend_server_id const&
StoreName()
{
  static backend_server_id const kName{ "kv store" };
  return kName;
}

constexpr incarnation kStoreIncarnation{ 1 };

// The estimate of how long the store keeps unused pieces; no answer corrects
// it.
constexpr duration kStoreRetention = std::chrono::seconds{ 60 };

// The store's map has one eighth as many entries as the map of the servers.
constexpr std::size_t kStoreDivisor = 8;

}

block_shard::block_shard(block_map_options aOptions)
  : mMap(aOptions)
  , mStore({ .mEntries = aOptions.mEntries / kStoreDivisor,
             .mInitialRetention = kStoreRetention })
{
}

block_answer
block_shard::Answer(block_lookup const& aLookup,
                    std::span<placement_candidate const> aCandidates,
                    instant aNow) const
{
  block_answer answer{ .mNumber = aLookup.mNumber };
  for (placement_candidate const& candidate : aCandidates) {
    known_prefix known = mMap.Find(
      candidate.mServer, candidate.mIncarnation, aLookup.mBlocks, aNow);
    if (known.mTokens > 0)
      answer.mKnown.push_back(std::move(known));
  }
  std::ranges::sort(answer.mKnown, std::greater{}, &known_prefix::mTokens);
  if (answer.mKnown.size() > kMaxHolders)
    answer.mKnown.resize(kMaxHolders);
  token_count const stored =
    mStore.Find(StoreName(), kStoreIncarnation, aLookup.mBlocks, aNow).mTokens;
  // The store keeps complete pieces only.
  answer.mStoredTokens = stored / kPieceTokens * kPieceTokens;
  return answer;
}

void
block_shard::OnStored(std::span<block_hash const> aBlocks, instant aNow)
{
  // No send was recorded, so the 0 cached tokens don't adjust the retention.
  mStore.OnAnswer(StoreName(), kStoreIncarnation, aBlocks, 0, aNow);
}

void
block_shard::OnUpdate(block_update const& aUpdate, instant aNow)
{
  if (aUpdate.mCachedTokens)
    mMap.OnAnswer(aUpdate.mServer,
                  aUpdate.mIncarnation,
                  aUpdate.mBlocks,
                  *aUpdate.mCachedTokens,
                  aNow);
  else
    mMap.OnSent(aUpdate.mServer, aUpdate.mIncarnation, aUpdate.mBlocks, aNow);
}

void
block_shard::OnEvents(cache_event_batch const& aBatch, instant aNow)
{
  mMap.OnEvents(aBatch, aNow);
}

void
block_shard::OnIncarnation(backend_server_id const& aServer,
                           incarnation aIncarnation)
{
  mMap.OnIncarnation(aServer, aIncarnation);
}

}
