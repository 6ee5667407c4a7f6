#pragma once

#include <LibPlacement/BlockAnswer.h>
#include <LibPlacement/BlockLookup.h>
#include <LibPlacement/BlockMap.h>
#include <LibPlacement/BlockUpdate.h>
#include <LibPlacement/PlacementCandidate.h>

#include <span>

namespace lycheeseam {

/// This instance's part of the fleet's block knowledge: the prefixes whose
/// roots it owns. It answers lookups, also its own instance's.
class block_shard
{
public:
  /// The most holders that an answer names; more would change no choice.
  static constexpr std::size_t kMaxHolders = 16;

  explicit block_shard(block_map_options aOptions = {});

  /// Where the blocks are cached, among a pool's servers as this instance
  /// knows them.
  [[nodiscard]] block_answer Answer(
    block_lookup const& aLookup,
    std::span<placement_candidate const> aCandidates,
    instant aNow) const;

  /// The KV store took a prompt's blocks from an engine.
  void OnStored(std::span<block_hash const> aBlocks, instant aNow);

  /// A request was sent or answered, by any instance.
  void OnUpdate(block_update const& aUpdate, instant aNow);

  /// Events came for blocks of this shard, or of this instance's streams.
  void OnEvents(cache_event_batch const& aBatch, instant aNow);

  /// A server is seen in some life; a newer one drops all older knowledge.
  void OnIncarnation(backend_server_id const& aServer,
                     incarnation aIncarnation);

  /// The knowledge's size in bytes.
  [[nodiscard]] std::size_t Bytes() const
  {
    return mMap.Bytes() + mStore.Bytes();
  }

private:
  block_map mMap;
  /// The KV store's blocks; it keeps them for longer than engines do.
  block_map mStore;
};

}
