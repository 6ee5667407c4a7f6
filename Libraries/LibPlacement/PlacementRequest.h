#pragma once

#include <LibCore/Identifiers.h>
#include <LibPlacement/BlockHash.h>
#include <LibPlacement/KnowledgeState.h>
#include <LibPlacement/KnownPrefix.h>

#include <span>

namespace lycheeseam {

/// What a policy may know of a request; it owns nothing.
struct placement_request
{
  /// The prompt's blocks.
  std::span<block_hash const> mBlocks;
  /// The chain's root.
  block_hash mRoot;
  token_count mPromptTokens = 0;
  /// Where this instance stands.
  failure_domain mFailureDomain;
  /// Where parts of the prompt are believed to be cached.
  std::span<known_prefix const> mKnown;
  knowledge_state mKnowledge = knowledge_state::Missing;
  /// Tokens from the prompt's start on that the KV store holds.
  token_count mStoredTokens = 0;
};

}
