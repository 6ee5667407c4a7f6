#pragma once

#include <LibCore/Identifiers.h>
#include <LibPlacement/BlockHash.h>
#include <LibPlacement/KnownPrefix.h>
#include <LibPlacement/LookupState.h>

#include <span>

namespace lycheeseam {

/// The properties of a request that a policy uses; owns none of its spans.
struct placement_request
{
  /// The prompt's blocks.
  std::span<block_hash const> mBlocks;
  /// The root of the prefix chain.
  block_hash mRoot;
  token_count mPromptTokens = 0;
  /// The failure domain of this instance.
  failure_domain mFailureDomain;
  /// The servers that likely have a prefix of the prompt cached.
  std::span<known_prefix const> mKnown;
  lookup_state mLookupState = lookup_state::Missing;
  /// The number of tokens, from the prompt's start on, in the KV store.
  token_count mStoredTokens = 0;
};

}
