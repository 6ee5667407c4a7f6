#pragma once

#include <LibCore/Identifiers.h>
#include <LibPlatform/AppendStatus.h>

namespace lycheeseam {

/// The result of one append call to the log.
struct append_result
{
  append_status mStatus = append_status::Unknown;
  /// The record's offset; 0 unless it was accepted.
  log_offset mOffset;

  bool operator==(append_result const&) const = default;
};

}
