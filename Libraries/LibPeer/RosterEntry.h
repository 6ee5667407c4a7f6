#pragma once

#include <LibPeer/PeerHello.h>

namespace lycheeseam {

/// A running instance and whether it serves callers.
struct roster_entry
{
  peer_hello mHello;
  /// It has a configuration and accepts callers.
  bool mIsReady = false;
  /// Its planned stop has begun.
  bool mIsLeaving = false;

  bool operator==(roster_entry const&) const = default;
};

}
