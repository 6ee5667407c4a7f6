#pragma once

#include <LibCore/Identifiers.h>

namespace lycheeseam {

/// What the platform's log holds at one moment.
struct log_range
{
  /// The oldest record kept; one past the tail when none is.
  log_offset mEarliest{ 1 };
  /// The newest record; 0 before the first.
  log_offset mTail;

  bool operator==(log_range const&) const = default;
};

}
