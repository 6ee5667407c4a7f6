#pragma once

#include <LibCore/Instant.h>

#include <chrono>

namespace lycheeseam {

/// Time limits of member_table.
struct member_table_options
{
  /// How long a peer missing from the platform's list stays in the table after
  /// its link closed; a peer that just started may not be in the list yet.
  duration mUnlistedGrace = std::chrono::seconds{ 30 };
};

}
