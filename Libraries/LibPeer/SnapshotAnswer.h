#pragma once

#include <LibCore/Identifiers.h>
#include <LibPeer/SnapshotNumber.h>

#include <string>

namespace lycheeseam {

/// The sender's folded state of the log, in the checkpoint codec's form.
struct snapshot_answer
{
  snapshot_number mNumber;
  /// Every entry up to this one is in the state.
  log_offset mOffset;
  /// Empty when the sender has no folded state yet.
  std::string mState;

  bool operator==(snapshot_answer const&) const = default;
};

}
