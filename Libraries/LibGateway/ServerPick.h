#pragma once

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
  /// When the first server's pause ends, if there is no server only because all
  /// that could take the request pause.
  std::optional<instant> mPauseEnd;
};

}
