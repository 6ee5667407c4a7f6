#pragma once

#include <LibDispatch/FleetView.h>
#include <LibDispatch/ServerChoiceRequest.h>
#include <LibDispatch/TrackedServer.h>

#include <memory>

namespace lycheeseam {

/// A server that was chosen for a request, and what it was chosen by.
struct server_pick
{
  /// Keeps alive what mWanted refers to.
  std::shared_ptr<fleet_view const> mView;
  server_choice_request mWanted;
  /// Null when none may take the request now.
  std::shared_ptr<tracked_server> mServer;
};

}
