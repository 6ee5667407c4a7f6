#pragma once

#include <LibCore/Identifiers.h>

#include <cstdint>

namespace lycheeseam {

/// What one instance's budgets have done since its start.
struct budget_counters
{
  /// Slots opened here.
  std::uint64_t mSlotsOpened = 0;
  /// Token requests that came while this instance might not lend.
  std::uint64_t mRequestsWithheld = 0;
  /// Unused tokens that homes here took back.
  token_count mTokensRefunded = 0;
};

}
