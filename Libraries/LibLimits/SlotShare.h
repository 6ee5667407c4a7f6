#pragma once

#include <LibConfig/WorkspaceRow.h>
#include <LibCore/Identifiers.h>

namespace lycheeseam {

/// One home's part of a workspace's limits.
struct slot_share
{
  /// The workspace's rate over the fleet, in tokens a second.
  token_count mFleetRate = 0;
  /// The most tokens of this home, lent ones included.
  token_count mBurst = 0;
  /// Among how many homes the rate is divided.
  token_count mHomes = 1;

  /// The share of one of aHomes homes; what a division leaves over is lost.
  static slot_share Of(workspace_row const& aRow, std::size_t aHomes)
  {
    token_count const homes = static_cast<token_count>(aHomes);
    return { .mFleetRate = aRow.mRate,
             .mBurst = aRow.mBurst / homes,
             .mHomes = homes };
  }

  bool operator==(slot_share const&) const = default;
};

}
