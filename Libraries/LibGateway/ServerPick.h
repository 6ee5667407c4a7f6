#pragma once

#include <LibDispatch/CrossingReason.h>
#include <LibDispatch/FleetView.h>
#include <LibDispatch/ServerChoiceRequest.h>
#include <LibDispatch/TrackedServer.h>

#include <memory>
#include <optional>

namespace lycheeseam {

/// A server that was chosen for a request, and the input of the choice.
struct server_pick
{
  /// Owns what mChoiceRequest refers to.
  std::shared_ptr<fleet_view const> mView;
  server_choice_request mChoiceRequest;
  /// Null when no server can take the request now.
  std::shared_ptr<tracked_server> mServer;
  /// Why the server is in another failure domain, if it is and its pool is
  /// adaptive.
  crossing_reason mCrossing = crossing_reason::None;
  /// When a server takes the request, if there is none now only because of the
  /// pauses and rate limits of those that could take it.
  std::optional<instant> mSendAt;
};

}
