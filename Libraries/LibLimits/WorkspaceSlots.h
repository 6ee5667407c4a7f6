#pragma once

#include <LibLimits/SlotLayout.h>
#include <LibRecords/SlotId.h>

#include <vector>

namespace lycheeseam {

/// The slots that a workspace's tokens are divided among, in ascending order:
/// all slots if there are at most mSlotsPerWorkspace, else those that
/// rendezvous hashing selects, the same at every instance.
std::vector<slot_id>
WorkspaceSlots(workspace_id const& aWorkspace, slot_layout aLayout);

}
