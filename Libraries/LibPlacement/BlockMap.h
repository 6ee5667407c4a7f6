#pragma once

#include <LibPlacement/BlockMapOptions.h>
#include <LibPlacement/BlockTable.h>
#include <LibPlacement/CacheEventBatch.h>
#include <LibPlacement/CachedServer.h>
#include <LibPlacement/KnownPrefix.h>
#include <LibPlacement/PendingSend.h>

#include <span>
#include <unordered_map>

namespace lycheeseam {

/// Which blocks backend servers are believed to hold.
///
/// Joined from engines' cache events, which come late and with gaps, and from
/// requests that were sent and answered. What a dead incarnation held, and what
/// only events before a gap said, is never counted.
class block_map
{
public:
  explicit block_map(block_map_options aOptions = {});

  /// A server is seen in some life. A newer one drops all that older ones
  /// held; an older one is ignored.
  void OnIncarnation(backend_server_id const& aServer,
                     incarnation aIncarnation);

  /// A server is gone for good.
  void OnGone(backend_server_id const& aServer);

  /// Events came from a server's stream.
  void OnEvents(cache_event_batch const& aBatch, instant aNow);

  /// A request with these blocks was sent: the server will soon hold them.
  void OnSent(backend_server_id const& aServer,
              incarnation aIncarnation,
              std::span<block_hash const> aBlocks,
              instant aNow);

  /// The server answered, and counted the cached tokens that it found.
  void OnAnswer(backend_server_id const& aServer,
                incarnation aIncarnation,
                std::span<block_hash const> aBlocks,
                token_count aCachedTokens,
                instant aNow);

  /// How much of a prompt the server's present life holds; nothing when it
  /// isn't the one that the map knows.
  [[nodiscard]] known_prefix Find(backend_server_id const& aServer,
                                  incarnation aIncarnation,
                                  std::span<block_hash const> aBlocks,
                                  instant aNow) const;

  /// The size of the table in bytes.
  [[nodiscard]] std::size_t Bytes() const { return mTable.Bytes(); }

private:
  cached_server* ServerOf(backend_server_id const& aServer,
                          incarnation aIncarnation);
  /// Counts a batch's sequence; false for one that newer ones passed.
  static bool FollowSequence(cached_server& aServer,
                             cache_event_batch const& aBatch,
                             instant aNow);
  void RememberEvent(cached_server const& aServer,
                     block_hash aBlock,
                     instant aNow);
  void RememberRequest(cached_server const& aServer,
                       block_hash aBlock,
                       instant aNow);
  /// What is known of a block, less what a gap has put in doubt.
  [[nodiscard]] block_entry EntryOf(cached_server const& aServer,
                                    block_hash aBlock) const;
  [[nodiscard]] bool IsTrusted(cached_server const& aServer,
                               block_hash aBlock,
                               instant aNow) const;
  [[nodiscard]] std::size_t CountTrusted(cached_server const& aServer,
                                         std::span<block_hash const> aBlocks,
                                         instant aNow) const;
  /// The key of a prompt that is under way to a server's life.
  static std::uint64_t SendKey(cached_server const& aServer,
                               std::span<block_hash const> aBlocks);
  void RememberSend(cached_server const& aServer,
                    std::span<block_hash const> aBlocks,
                    instant aNow);
  void LearnRetention(cached_server& aServer,
                      std::span<block_hash const> aBlocks,
                      std::size_t aCachedBlocks);

  block_map_options mOptions;
  block_table mTable;
  std::unordered_map<backend_server_id, cached_server> mServers;
  std::uint32_t mLastServerNumber = 0;
  std::unordered_map<std::uint64_t, pending_send> mPending;
};

}
