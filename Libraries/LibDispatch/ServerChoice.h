#pragma once

#include <LibDispatch/CrossingReason.h>
#include <LibDispatch/TrackedServer.h>

namespace lycheeseam {

/// The server that was chosen for a request, and why it is in another failure
/// domain if it is.
struct server_choice
{
  /// Null when no server takes the request now.
  tracked_server* mServer = nullptr;
  crossing_reason mCrossing = crossing_reason::None;
};

}
