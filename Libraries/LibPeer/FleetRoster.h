#pragma once

#include <LibPeer/RosterEntry.h>

#include <vector>

namespace lycheeseam {

/// The instances on whose behalf the sender reports; sent when they change.
struct fleet_roster
{
  std::vector<roster_entry> mEntries;

  bool operator==(fleet_roster const&) const = default;
};

}
