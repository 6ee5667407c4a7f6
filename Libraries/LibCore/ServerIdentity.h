#pragma once

#include <LibCore/Identifiers.h>

#include <compare>

namespace lycheeseam {

/// A backend server id together with the incarnation of its process: a server
/// that restarts after a crash gets a new incarnation.
struct server_identity
{
  backend_server_id mServer;
  incarnation mIncarnation;

  auto operator<=>(server_identity const&) const = default;
};

}
