#pragma once

#include <LibCore/Identifiers.h>
#include <LibPlacement/BlockHash.h>

#include <optional>
#include <vector>

namespace lycheeseam {

/// Reports a sent request, or its answer, to the prefix owner.
struct block_update
{
  backend_server_id mServer;
  incarnation mIncarnation;
  std::vector<block_hash> mBlocks;
  /// The number of cached tokens that the answer reported; nothing for a
  /// request without an answer yet.
  std::optional<token_count> mCachedTokens;

  bool operator==(block_update const&) const = default;
};

}
