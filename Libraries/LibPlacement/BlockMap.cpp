#include <LibPlacement/BlockMap.h>
#include <LibPlacement/TokenEstimate.h>

#include <algorithm>

namespace lycheeseam {

namespace {

// 30 bits of these ticks cover 124 days of a machine's uptime.
constexpr duration kTick = std::chrono::milliseconds{ 10 };

// When an answer shows that the estimated retention is wrong, the estimate
// moves by this share of its difference from the block's age.
constexpr double kRetentionStep = 0.2;

// Bounds the memory when answers are missing; an entry takes about 300 bytes.
constexpr std::size_t kMaxPending = 1024;

std::uint32_t
TickOf(instant aTime)
{
  return static_cast<std::uint32_t>(aTime.time_since_epoch() / kTick);
}

instant
TimeOf(std::uint32_t aTick)
{
  return instant{} + aTick * kTick;
}

/// The retention moved towards the age of a block that shows it to be wrong.
duration
MovedTowards(duration aRetention, duration aAge)
{
  return aRetention + std::chrono::duration_cast<duration>((aAge - aRetention) *
                                                           kRetentionStep);
}

}

block_map::block_map(block_map_options aOptions)
  : mOptions(aOptions)
  , mTable(aOptions.mEntries)
{
}

void
block_map::OnIncarnation(backend_server_id const& aServer,
                         incarnation aIncarnation)
{
  // FIXME: An engine that restarts after its clock has jumped back has a lower
  // number and is ignored. Only benchmarks use this map so far.
  auto const [found, isNew] = mServers.try_emplace(aServer);
  cached_server& server = found->second;
  if (!isNew && server.mIncarnation >= aIncarnation)
    return;
  // The new number makes all entries of older incarnations unreachable at once;
  // full buckets overwrite them.
  server = cached_server{ .mIncarnation = aIncarnation,
                          .mNumber = ++mLastServerNumber,
                          .mRetention = mOptions.mInitialRetention };
}

void
block_map::OnRemoved(backend_server_id const& aServer)
{
  mServers.erase(aServer);
}

void
block_map::OnEvents(cache_event_batch const& aBatch, instant aNow)
{
  cached_server* const server = ServerOf(aBatch.mServer, aBatch.mIncarnation);
  if (server == nullptr)
    return;
  bool const isNewest = RecordSequence(*server, aBatch, aNow);
  for (cache_event const& event : aBatch.mEvents) {
    // A batch that arrives late may report as stored what a newer one removed.
    if (event.mChange == cache_change::Removed)
      mTable.Erase(event.mBlock, server->mNumber);
    else if (isNewest)
      RecordEvent(*server, event.mBlock, aNow);
  }
}

void
block_map::OnSent(backend_server_id const& aServer,
                  incarnation aIncarnation,
                  std::span<block_hash const> aBlocks,
                  instant aNow)
{
  cached_server const* const server = ServerOf(aServer, aIncarnation);
  if (server == nullptr)
    return;
  RecordSend(*server, aBlocks, aNow);
  for (block_hash const block : aBlocks)
    RecordRequest(*server, block, aNow);
}

void
block_map::OnAnswer(backend_server_id const& aServer,
                    incarnation aIncarnation,
                    std::span<block_hash const> aBlocks,
                    token_count aCachedTokens,
                    instant aNow)
{
  cached_server* const server = ServerOf(aServer, aIncarnation);
  if (server == nullptr)
    return;
  std::size_t const cachedBlocks =
    static_cast<std::size_t>(aCachedTokens / kBlockTokens);
  AdjustRetention(*server, aBlocks, cachedBlocks);
  // The server has computed what was missing, so it now holds all blocks.
  for (block_hash const block : aBlocks)
    RecordRequest(*server, block, aNow);
}

known_prefix
block_map::Find(backend_server_id const& aServer,
                incarnation aIncarnation,
                std::span<block_hash const> aBlocks,
                instant aNow) const
{
  known_prefix known{ .mServer = aServer, .mIncarnation = aIncarnation };
  auto const found = mServers.find(aServer);
  if (found == mServers.end() || found->second.mIncarnation != aIncarnation)
    return known;
  known.mTokens =
    static_cast<token_count>(CountLikelyCached(found->second, aBlocks, aNow)) *
    kBlockTokens;
  return known;
}

cached_server*
block_map::ServerOf(backend_server_id const& aServer, incarnation aIncarnation)
{
  OnIncarnation(aServer, aIncarnation);
  cached_server& server = mServers.at(aServer);
  return server.mIncarnation == aIncarnation ? &server : nullptr;
}

bool
block_map::RecordSequence(cached_server& aServer,
                          cache_event_batch const& aBatch,
                          instant aNow)
{
  if (aServer.mHasReceivedEvents && aBatch.mLast < aServer.mNextSequence)
    return false;
  if (aServer.mHasReceivedEvents && aBatch.mFirst > aServer.mNextSequence)
    aServer.mLastGapTick = TickOf(aNow);
  aServer.mNextSequence = aBatch.mLast.Next();
  aServer.mHasReceivedEvents = true;
  aServer.mLastBatchAt = aNow;
  return true;
}

void
block_map::RecordEvent(cached_server const& aServer,
                       block_hash aBlock,
                       instant aNow)
{
  block_entry entry = EntryOf(aServer, aBlock);
  // The batch that reveals a gap arrives in the gap's tick but comes after it.
  entry.mConfirmedTick = std::max(TickOf(aNow), aServer.mLastGapTick + 1);
  entry.mIsFromEvent = 1;
  mTable.Put(entry);
}

void
block_map::RecordRequest(cached_server const& aServer,
                         block_hash aBlock,
                         instant aNow)
{
  block_entry entry = EntryOf(aServer, aBlock);
  entry.mConfirmedTick =
    std::max<std::uint32_t>(TickOf(aNow), entry.mConfirmedTick);
  entry.mIsFromRequest = 1;
  mTable.Put(entry);
}

block_entry
block_map::EntryOf(cached_server const& aServer, block_hash aBlock) const
{
  block_entry const* const found = mTable.Find(aBlock, aServer.mNumber);
  if (found == nullptr)
    return block_entry{ .mBlock = aBlock, .mServerNumber = aServer.mNumber };
  block_entry entry = *found;
  if (entry.mConfirmedTick <= aServer.mLastGapTick)
    entry.mIsFromEvent = 0;
  return entry;
}

bool
block_map::IsLikelyCached(cached_server const& aServer,
                          block_hash aBlock,
                          instant aNow) const
{
  block_entry const entry = EntryOf(aServer, aBlock);
  bool const isStreamLive =
    aNow - aServer.mLastBatchAt <= mOptions.mStreamTimeout;
  if (entry.mIsFromEvent == 1 && isStreamLive)
    return true;
  return entry.mIsFromRequest == 1 &&
         aNow - TimeOf(entry.mConfirmedTick) <= aServer.mRetention;
}

std::size_t
block_map::CountLikelyCached(cached_server const& aServer,
                             std::span<block_hash const> aBlocks,
                             instant aNow) const
{
  // A binary search could miss a removed block in the middle. Most servers hold
  // no block of a prompt, so that the first lookup ends the search.
  auto const end = std::ranges::find_if_not(aBlocks, [&](block_hash aBlock) {
    return IsLikelyCached(aServer, aBlock, aNow);
  });
  return static_cast<std::size_t>(end - aBlocks.begin());
}

std::uint64_t
block_map::SendKey(cached_server const& aServer,
                   std::span<block_hash const> aBlocks)
{
  // Equal prompts in flight share a key. The later one replaces the earlier,
  // which loses one adjustment of the retention.
  return aBlocks.back().Value() ^ aServer.mNumber;
}

void
block_map::RecordSend(cached_server const& aServer,
                      std::span<block_hash const> aBlocks,
                      instant aNow)
{
  if (aBlocks.empty())
    return;
  if (mPending.size() >= kMaxPending)
    mPending.erase(mPending.begin());
  pending_send send{ .mSentTick = TickOf(aNow) };
  send.mConfirmedTicks.reserve(aBlocks.size());
  for (block_hash const block : aBlocks)
    send.mConfirmedTicks.push_back(EntryOf(aServer, block).mConfirmedTick);
  mPending.insert_or_assign(SendKey(aServer, aBlocks), std::move(send));
}

void
block_map::AdjustRetention(cached_server& aServer,
                           std::span<block_hash const> aBlocks,
                           std::size_t aCachedBlocks)
{
  if (aBlocks.empty())
    return;
  auto const found = mPending.find(SendKey(aServer, aBlocks));
  if (found == mPending.end())
    return;
  pending_send const send = std::move(found->second);
  mPending.erase(found);
  auto const ageOf = [&send](std::size_t aIndex) -> duration {
    return (send.mSentTick -
            std::min(send.mConfirmedTicks[aIndex], send.mSentTick)) *
           kTick;
  };
  std::size_t const cached =
    std::min(aCachedBlocks, send.mConfirmedTicks.size());
  // The last block that was still cached, and the first that was evicted.
  if (cached > 0 && send.mConfirmedTicks[cached - 1] != 0 &&
      ageOf(cached - 1) > aServer.mRetention)
    aServer.mRetention = MovedTowards(aServer.mRetention, ageOf(cached - 1));
  if (cached < send.mConfirmedTicks.size() &&
      send.mConfirmedTicks[cached] != 0 && ageOf(cached) < aServer.mRetention)
    aServer.mRetention = MovedTowards(aServer.mRetention, ageOf(cached));
  aServer.mRetention = std::clamp(
    aServer.mRetention, mOptions.mMinRetention, mOptions.mMaxRetention);
}

}
