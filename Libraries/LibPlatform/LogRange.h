#pragma once

#include <LibCore/Identifiers.h>

namespace lycheeseam {

/// The range of offsets that the platform's log holds at one moment.
struct log_range
{
  /// The offset of the oldest retained record; tail + 1 when there is none.
  log_offset mEarliest{ 1 };
  /// The offset of the newest record; 0 before the first.
  log_offset mTail;

  bool operator==(log_range const&) const = default;
};

}
