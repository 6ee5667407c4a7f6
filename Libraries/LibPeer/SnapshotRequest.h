#pragma once

#include <LibPeer/SnapshotNumber.h>

namespace lycheeseam {

/// Requests the folded state of the log from a peer.
struct snapshot_request
{
  snapshot_number mNumber;

  bool operator==(snapshot_request const&) const = default;
};

}
