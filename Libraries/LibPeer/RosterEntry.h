#pragma once

#include <LibPeer/PeerHello.h>

namespace lycheeseam {

/// An instance that lives, and what it does for callers.
struct roster_entry
{
  peer_hello mHello;
  /// It has a configuration and takes callers.
  bool mIsReady = false;
  /// Its planned stop has begun.
  bool mIsLeaving = false;

  bool operator==(roster_entry const&) const = default;
};

}
