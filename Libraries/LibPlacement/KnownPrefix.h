#pragma once

#include <LibCore/Identifiers.h>

namespace lycheeseam {

/// How much of a prompt one life of a backend server is believed to hold.
struct known_prefix
{
  backend_server_id mServer;
  incarnation mIncarnation;
  /// Tokens from the prompt's start on.
  token_count mTokens = 0;

  auto operator<=>(known_prefix const&) const = default;
};

}
