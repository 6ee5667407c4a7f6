#pragma once

#include <LibPlacement/BlockAnswer.h>
#include <LibPlacement/BlockLookup.h>
#include <LibPlacement/BlockMap.h>
#include <LibPlacement/BlockUpdate.h>
#include <LibPlacement/PlacementCandidate.h>

#include <span>

namespace lycheeseam {

/// This instance's shard of the fleet's block maps: the prefixes whose roots it
/// owns. It answers lookups of all instances, including its own.
class block_shard
{
public:
  /// The maximum number of servers in an answer; further ones would not change
  /// the choice.
  static constexpr std::size_t kMaxHolders = 16;

  explicit block_shard(block_map_options aOptions = {});

  /// Which of a pool's servers, as far as this instance knows, cache the
  /// blocks.
  [[nodiscard]] block_answer Answer(
    block_lookup const& aLookup,
    std::span<placement_candidate const> aCandidates,
    instant aNow) const;

  /// The KV store received a prompt's blocks from an engine.
  void OnStored(std::span<block_hash const> aBlocks, instant aNow);

  /// Any instance sent a request or received its answer.
  void OnUpdate(block_update const& aUpdate, instant aNow);

  /// Events arrived for blocks of this shard, or from this instance's streams.
  void OnEvents(cache_event_batch const& aBatch, instant aNow);

  /// A server runs the incarnation; a newer one discards the blocks of older
  /// ones.
  void OnIncarnation(backend_server_id const& aServer,
                     incarnation aIncarnation);

  /// The size of both maps in bytes.
  [[nodiscard]] std::size_t Bytes() const
  {
    return mMap.Bytes() + mStore.Bytes();
  }

private:
  block_map mMap;
  /// The KV store's blocks; the store keeps them longer than engines do.
  block_map mStore;
};

}
