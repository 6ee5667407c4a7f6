#pragma once

#include <LibLimits/SlotLayout.h>
#include <LibRecords/SlotId.h>

#include <vector>

namespace lycheeseam {

/// The home slots of a workspace in ascending order: every slot of a small
/// layout, else a rendezvous choice that all instances agree on.
std::vector<slot_id>
WorkspaceSlots(workspace_id const& aWorkspace, slot_layout aLayout);

}
