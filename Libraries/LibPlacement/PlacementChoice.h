#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Instant.h>
#include <LibPlacement/PlacementReason.h>

#include <cstddef>

namespace lycheeseam {

/// A policy's decision, with what explains it.
struct placement_choice
{
  /// The candidate's place in the span that the policy was given.
  std::size_t mIndex = 0;
  backend_server_id mServer;
  placement_reason mReason = placement_reason::Turn;
  /// The expected time to the first token; zero when the policy has no model.
  duration mExpectedCost{};
  /// Tokens that are expected to be cached on the server.
  token_count mExpectedCached = 0;
  /// Tokens that the engine should import from the KV store.
  token_count mStoredTokens = 0;
};

}
