#pragma once

#include <LibPeer/RelayedEntry.h>

#include <vector>

namespace lycheeseam {

/// Entries of the log in order, passed on to peers so that only a few instances
/// have to poll the log.
struct log_relay
{
  std::vector<relayed_entry> mEntries;

  bool operator==(log_relay const&) const = default;
};

}
