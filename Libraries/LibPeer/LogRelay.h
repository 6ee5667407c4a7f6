#pragma once

#include <LibPeer/RelayedEntry.h>

#include <chrono>
#include <vector>

namespace lycheeseam {

/// Entries of the log in order, passed on so that few instances poll the
/// log. One without entries tells of the tail alone.
struct log_relay
{
  std::vector<relayed_entry> mEntries;
  log_offset mTail;
  /// How long ago the tail was read from the platform.
  std::chrono::milliseconds mTailAge{ 0 };

  bool operator==(log_relay const&) const = default;
};

}
