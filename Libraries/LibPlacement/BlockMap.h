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

/// Records which blocks backend servers likely have cached.
///
/// The sources are engines' cache events, which arrive late and with gaps, and
/// requests that were sent and answered. Blocks of an older incarnation, and
/// blocks reported only by events before a gap, are never counted.
class block_map
{
public:
  explicit block_map(block_map_options aOptions = {});

  /// A server runs the incarnation. A newer one discards the blocks of all
  /// older ones; an older one is ignored.
  void OnIncarnation(backend_server_id const& aServer,
                     incarnation aIncarnation);

  /// A server was removed for good.
  void OnRemoved(backend_server_id const& aServer);

  /// A batch arrived from a server's event stream.
  void OnEvents(cache_event_batch const& aBatch, instant aNow);

  /// A request with these blocks was sent, so the server will soon cache them.
  void OnSent(backend_server_id const& aServer,
              incarnation aIncarnation,
              std::span<block_hash const> aBlocks,
              instant aNow);

  /// The server answered such a request and reported how many of its tokens
  /// were cached.
  void OnAnswer(backend_server_id const& aServer,
                incarnation aIncarnation,
                std::span<block_hash const> aBlocks,
                token_count aCachedTokens,
                instant aNow);

  /// How much of a prompt the server's incarnation likely has cached; zero
  /// tokens if the map doesn't know the server or knows another incarnation.
  [[nodiscard]] known_prefix Find(backend_server_id const& aServer,
                                  incarnation aIncarnation,
                                  std::span<block_hash const> aBlocks,
                                  instant aNow) const;

  /// The size of the table in bytes.
  [[nodiscard]] std::size_t Bytes() const { return mTable.Bytes(); }

private:
  cached_server* ServerOf(backend_server_id const& aServer,
                          incarnation aIncarnation);
  /// Records a batch's sequence numbers; false if a newer batch came before.
  static bool RecordSequence(cached_server& aServer,
                             cache_event_batch const& aBatch,
                             instant aNow);
  void RecordEvent(cached_server const& aServer,
                   block_hash aBlock,
                   instant aNow);
  void RecordRequest(cached_server const& aServer,
                     block_hash aBlock,
                     instant aNow);
  /// The block's entry, without the mark of an event from before a gap.
  [[nodiscard]] block_entry EntryOf(cached_server const& aServer,
                                    block_hash aBlock) const;
  [[nodiscard]] bool IsLikelyCached(cached_server const& aServer,
                                    block_hash aBlock,
                                    instant aNow) const;
  [[nodiscard]] std::size_t CountLikelyCached(
    cached_server const& aServer,
    std::span<block_hash const> aBlocks,
    instant aNow) const;
  /// The key of a prompt that was sent to a server's incarnation.
  static std::uint64_t SendKey(cached_server const& aServer,
                               std::span<block_hash const> aBlocks);
  void RecordSend(cached_server const& aServer,
                  std::span<block_hash const> aBlocks,
                  instant aNow);
  /// Corrects the estimated retention by an answer, which shows which blocks
  /// of a sent prompt were still cached.
  void AdjustRetention(cached_server& aServer,
                       std::span<block_hash const> aBlocks,
                       std::size_t aCachedBlocks);

  block_map_options mOptions;
  block_table mTable;
  std::unordered_map<backend_server_id, cached_server> mServers;
  std::uint32_t mLastServerNumber = 0;
  std::unordered_map<std::uint64_t, pending_send> mPending;
};

}
