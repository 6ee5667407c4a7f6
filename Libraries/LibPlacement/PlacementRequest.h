#pragma once

#include <LibCore/Identifiers.h>
#include <LibPlacement/BlockHash.h>

#include <span>

namespace lycheeseam {

/// What a policy may know of a request.
struct placement_request
{
  /// The prompt's blocks; the request doesn't own them.
  std::span<block_hash const> mBlocks;
  /// The chain's root.
  block_hash mRoot;
  token_count mPromptTokens = 0;
  /// Where this instance stands.
  failure_domain mFailureDomain;
};

}
