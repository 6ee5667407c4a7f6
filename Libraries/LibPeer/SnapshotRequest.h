#pragma once

#include <LibPeer/SnapshotNumber.h>

namespace lycheeseam {

/// Asks a peer for its folded state of the log.
struct snapshot_request
{
  snapshot_number mNumber;

  bool operator==(snapshot_request const&) const = default;
};

}
