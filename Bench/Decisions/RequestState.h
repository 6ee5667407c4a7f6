#pragma once

#include <LibAdmission/BudgetState.h>
#include <LibCore/Instant.h>
#include <LibPlacement/BlockAnswer.h>
#include <LibPlacement/LookupState.h>
#include <LibPlacement/PlacementChoice.h>

#include <cstdint>

namespace lycheeseam::bench {

/// What became of a request.
enum class request_fate
{
  Open,
  Answered,
  /// Its workspace was over its rate for longer than the wait's bound.
  OverRate,
  /// Inside its workspace's rate, yet not admitted in time.
  Refused,
  /// Lost with a backend server, and the retry budget was spent.
  Lost,
};

/// One request's way through the run.
struct request_state
{
  budget_state mBudget = budget_state::Within;
  request_fate mFate = request_fate::Open;
  block_answer mKnown;
  lookup_state mLookupState = lookup_state::Missing;
  placement_choice mChoice;
  std::uint32_t mAttempts = 0;
  bool mHasFirstToken = false;
  duration mFirstTokenAfter{};
  token_count mCachedTokens = 0;
  /// Tokens computed though some engine had computed them before.
  token_count mRecomputedTokens = 0;
};

}
