#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Instant.h>
#include <LibPlacement/PlacementReason.h>

#include <cstddef>

namespace lycheeseam {

/// A policy's decision, with the estimates behind it.
struct placement_choice
{
  /// The candidate's index in the span given to the policy.
  std::size_t mIndex = 0;
  backend_server_id mServer;
  placement_reason mReason = placement_reason::RoundRobin;
  /// The expected cost: the time to the first token, and what computing the
  /// prompt costs the requests queued behind. Zero for a policy without a cost
  /// model.
  duration mExpectedCost{};
  /// The number of tokens that the server is expected to have cached.
  token_count mExpectedCached = 0;
  /// The number of tokens, from the prompt's start on, that the engine should
  /// import from the KV store; zero for no import.
  token_count mStoredTokens = 0;
};

}
