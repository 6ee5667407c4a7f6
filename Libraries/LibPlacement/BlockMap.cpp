#include <LibPlacement/BlockMap.h>
#include <LibPlacement/TokenEstimate.h>

#include <algorithm>

namespace lycheeseam {

namespace {

// 30 bits of these reach over 124 days of a machine's uptime.
constexpr duration kTick = std::chrono::milliseconds{ 10 };

// How much of the way to a block's age the guess of a retention moves when an
// answer shows the guess to be wrong.
constexpr double kRetentionStep = 0.2;

// Bounds the memory when answers stay away; about 300 bytes each.
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

/// A retention moved towards the age of a block that shows it to be wrong.
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
  auto const [found, isNew] = mServers.try_emplace(aServer);
  cached_server& server = found->second;
  if (!isNew && server.mIncarnation >= aIncarnation)
    return;
  // A new number orphans all entries of older lives at once; they are never
  // found again, and full buckets reuse their places.
  server = cached_server{ .mIncarnation = aIncarnation,
                          .mNumber = ++mLastServerNumber,
                          .mRetention = mOptions.mFirstRetention };
}

void
block_map::OnGone(backend_server_id const& aServer)
{
  mServers.erase(aServer);
}

void
block_map::OnEvents(cache_event_batch const& aBatch, instant aNow)
{
  cached_server* const server = ServerOf(aBatch.mServer, aBatch.mIncarnation);
  if (server == nullptr)
    return;
  bool const isNewest = FollowSequence(*server, aBatch, aNow);
  for (cache_event const& event : aBatch.mEvents) {
    // A batch that was passed may say "stored" of what a newer one removed.
    if (event.mChange == cache_change::Removed)
      mTable.Erase(event.mBlock, server->mNumber);
    else if (isNewest)
      RememberEvent(*server, event.mBlock, aNow);
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
  RememberSend(*server, aBlocks, aNow);
  for (block_hash const block : aBlocks)
    RememberRequest(*server, block, aNow);
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
  LearnRetention(*server, aBlocks, cachedBlocks);
  // Whatever was missing has been computed, so the server now holds it all.
  for (block_hash const block : aBlocks)
    RememberRequest(*server, block, aNow);
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
    static_cast<token_count>(CountTrusted(found->second, aBlocks, aNow)) *
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
block_map::FollowSequence(cached_server& aServer,
                          cache_event_batch const& aBatch,
                          instant aNow)
{
  if (aServer.mHasSeenEvents && aBatch.mLast < aServer.mNextSequence)
    return false;
  if (aServer.mHasSeenEvents && aBatch.mFirst > aServer.mNextSequence)
    aServer.mLastGapTick = TickOf(aNow);
  aServer.mNextSequence = aBatch.mLast.Next();
  aServer.mHasSeenEvents = true;
  aServer.mLastBatchAt = aNow;
  return true;
}

void
block_map::RememberEvent(cached_server const& aServer,
                         block_hash aBlock,
                         instant aNow)
{
  block_entry entry = EntryOf(aServer, aBlock);
  // The batch that shows a gap comes in the gap's own tick, yet is after it.
  entry.mSeenTick = std::max(TickOf(aNow), aServer.mLastGapTick + 1);
  entry.mIsFromEvent = 1;
  mTable.Put(entry);
}

void
block_map::RememberRequest(cached_server const& aServer,
                           block_hash aBlock,
                           instant aNow)
{
  block_entry entry = EntryOf(aServer, aBlock);
  entry.mSeenTick = std::max<std::uint32_t>(TickOf(aNow), entry.mSeenTick);
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
  if (entry.mSeenTick <= aServer.mLastGapTick)
    entry.mIsFromEvent = 0;
  return entry;
}

bool
block_map::IsTrusted(cached_server const& aServer,
                     block_hash aBlock,
                     instant aNow) const
{
  block_entry const entry = EntryOf(aServer, aBlock);
  bool const isFollowed =
    aNow - aServer.mLastBatchAt <= mOptions.mLongestSilence;
  if (entry.mIsFromEvent == 1 && isFollowed)
    return true;
  return entry.mIsFromRequest == 1 &&
         aNow - TimeOf(entry.mSeenTick) <= aServer.mRetention;
}

std::size_t
block_map::CountTrusted(cached_server const& aServer,
                        std::span<block_hash const> aBlocks,
                        instant aNow) const
{
  // Halving would step over a hole that a removal left. Most servers hold no
  // block of a prompt, and for them the first look ends the search.
  auto const end = std::ranges::find_if_not(aBlocks, [&](block_hash aBlock) {
    return IsTrusted(aServer, aBlock, aNow);
  });
  return static_cast<std::size_t>(end - aBlocks.begin());
}

std::uint64_t
block_map::SendKey(cached_server const& aServer,
                   std::span<block_hash const> aBlocks)
{
  // Equal prompts under way at once share a key; the later one replaces the
  // earlier, which costs one lesson.
  return aBlocks.back().Value() ^ aServer.mNumber;
}

void
block_map::RememberSend(cached_server const& aServer,
                        std::span<block_hash const> aBlocks,
                        instant aNow)
{
  if (aBlocks.empty())
    return;
  if (mPending.size() >= kMaxPending)
    mPending.erase(mPending.begin());
  pending_send send{ .mSentTick = TickOf(aNow) };
  send.mSeenTicks.reserve(aBlocks.size());
  for (block_hash const block : aBlocks)
    send.mSeenTicks.push_back(EntryOf(aServer, block).mSeenTick);
  mPending.insert_or_assign(SendKey(aServer, aBlocks), std::move(send));
}

void
block_map::LearnRetention(cached_server& aServer,
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
            std::min(send.mSeenTicks[aIndex], send.mSentTick)) *
           kTick;
  };
  std::size_t const cached = std::min(aCachedBlocks, send.mSeenTicks.size());
  // The last block that was still there, and the first that was gone.
  if (cached > 0 && send.mSeenTicks[cached - 1] != 0 &&
      ageOf(cached - 1) > aServer.mRetention)
    aServer.mRetention = MovedTowards(aServer.mRetention, ageOf(cached - 1));
  if (cached < send.mSeenTicks.size() && send.mSeenTicks[cached] != 0 &&
      ageOf(cached) < aServer.mRetention)
    aServer.mRetention = MovedTowards(aServer.mRetention, ageOf(cached));
  aServer.mRetention = std::clamp(aServer.mRetention,
                                  mOptions.mShortestRetention,
                                  mOptions.mLongestRetention);
}

}
