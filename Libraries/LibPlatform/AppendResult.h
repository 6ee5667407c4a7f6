#pragma once

#include <LibCore/Identifiers.h>
#include <LibPlatform/AppendStatus.h>

namespace lycheeseam {

/// The end of one append.
struct append_result
{
  append_status mStatus = append_status::Unknown;
  /// Where the record stands; 0 unless it was accepted.
  log_offset mOffset;

  bool operator==(append_result const&) const = default;
};

}
