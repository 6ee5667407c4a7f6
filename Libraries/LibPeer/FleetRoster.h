#pragma once

#include <LibPeer/RosterEntry.h>

#include <vector>

namespace lycheeseam {

/// The instances that the sender's reports speak for; sent when they change.
struct fleet_roster
{
  std::vector<roster_entry> mEntries;

  bool operator==(fleet_roster const&) const = default;
};

}
