#pragma once

#include <LibCore/Identifiers.h>
#include <LibPlacement/BlockHash.h>

#include <optional>
#include <vector>

namespace lycheeseam {

/// Tells a prefix's owner of a request that was sent, or of its answer.
struct block_update
{
  backend_server_id mServer;
  incarnation mIncarnation;
  std::vector<block_hash> mBlocks;
  /// The cached tokens that the answer counted; none yet when just sent.
  std::optional<token_count> mCachedTokens;

  bool operator==(block_update const&) const = default;
};

}
