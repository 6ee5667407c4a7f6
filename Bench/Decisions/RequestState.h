#pragma once

#include <LibAdmission/BudgetState.h>
#include <LibCore/Instant.h>
#include <LibPlacement/BlockAnswer.h>
#include <LibPlacement/LookupState.h>
#include <LibPlacement/PlacementChoice.h>

#include <cstdint>

namespace lycheeseam::bench {

/// The result of a request.
enum class request_result
{
  Open,
  Answered,
  /// Over the workspace's rate for longer than a request may wait for tokens.
  OverRate,
  /// Within the workspace's rate, but not admitted in time.
  Refused,
  /// Its backend server failed and the retry budget was exhausted.
  Lost,
};

/// The state of one request in the simulation.
struct request_state
{
  budget_state mBudget = budget_state::Within;
  request_result mResult = request_result::Open;
  block_answer mKnown;
  lookup_state mLookupState = lookup_state::Missing;
  placement_choice mChoice;
  std::uint32_t mAttempts = 0;
  bool mHasFirstToken = false;
  duration mFirstTokenAfter{};
  token_count mCachedTokens = 0;
  /// Tokens computed again that some engine had already computed.
  token_count mRecomputedTokens = 0;
};

}
