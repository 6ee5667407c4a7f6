#pragma once

#include <LibCore/Instant.h>

#include <chrono>

namespace lycheeseam {

/// How long doubtful members stay.
struct member_table_options
{
  /// A peer that the platform's list doesn't name stays for this long after
  /// its link ended: the list may lag behind a start.
  duration mUnlistedGrace = std::chrono::seconds{ 30 };
};

}
