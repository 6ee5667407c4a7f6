#pragma once

#include <LibAdmission/Ticket.h>
#include <LibConfig/PriorityClass.h>
#include <LibCore/Identifiers.h>
#include <LibCore/Instant.h>

namespace lycheeseam {

/// A request that waits for its turn at a pool.
struct admission_request
{
  ticket mTicket;
  workspace_id mWorkspace;
  priority_class mPriority = priority_class::Normal;
  /// What the request takes of its workspace's share, in tokens.
  token_count mCost = 0;
  /// When the request is given up unless it was admitted before.
  instant mDeadline{};
};

}
