#pragma once

#include <LibConfig/WorkspaceRow.h>
#include <LibCore/Identifiers.h>

namespace lycheeseam {

/// One slot's share of a workspace's limits.
struct slot_share
{
  /// The workspace's rate over the whole fleet, in tokens per second.
  token_count mFleetRate = 0;
  /// The most tokens of this slot, outstanding loans included.
  token_count mBurst = 0;
  /// Among how many slots the rate is divided.
  token_count mSlotCount = 1;

  /// The share of one of aSlots slots; the remainder of the burst's division is
  /// dropped.
  static slot_share Of(workspace_row const& aRow, std::size_t aSlots)
  {
    token_count const slots = static_cast<token_count>(aSlots);
    return { .mFleetRate = aRow.mRate,
             .mBurst = aRow.mBurst / slots,
             .mSlotCount = slots };
  }

  bool operator==(slot_share const&) const = default;
};

}
