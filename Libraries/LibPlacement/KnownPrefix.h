#pragma once

#include <LibCore/Identifiers.h>

namespace lycheeseam {

/// How much of a prompt one incarnation of a backend server likely has cached.
struct known_prefix
{
  backend_server_id mServer;
  incarnation mIncarnation;
  /// The number of tokens from the prompt's start on.
  token_count mTokens = 0;

  auto operator<=>(known_prefix const&) const = default;
};

}
