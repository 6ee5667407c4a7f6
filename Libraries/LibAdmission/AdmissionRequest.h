#pragma once

#include <LibAdmission/Ticket.h>
#include <LibConfig/PriorityClass.h>
#include <LibCore/Identifiers.h>
#include <LibCore/Instant.h>

namespace lycheeseam {

/// A request that waits for admission to a pool.
struct admission_request
{
  ticket mTicket;
  workspace_id mWorkspace;
  priority_class mPriority = priority_class::Normal;
  /// Tokens that the request takes from its workspace's deficit in the deficit
  /// round robin.
  token_count mCost = 0;
  /// When the request expires unless it has been admitted.
  instant mDeadline{};
};

}
