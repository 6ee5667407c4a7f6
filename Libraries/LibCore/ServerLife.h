#pragma once

#include <LibCore/Identifiers.h>

#include <compare>

namespace lycheeseam {

/// One life of one backend server: a crash ends it.
struct server_life
{
  backend_server_id mServer;
  incarnation mIncarnation;

  auto operator<=>(server_life const&) const = default;
};

}
