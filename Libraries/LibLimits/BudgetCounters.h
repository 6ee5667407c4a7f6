#pragma once

#include <LibCore/Identifiers.h>

#include <cstdint>

namespace lycheeseam {

/// Counters of one instance's budgets since its start.
struct budget_counters
{
  /// Slots opened here.
  std::uint64_t mSlotsOpened = 0;
  /// Token requests that arrived while this instance was not allowed to lend.
  std::uint64_t mRequestsWithheld = 0;
  /// Unused tokens that slots held here took back.
  token_count mTokensRefunded = 0;
};

}
