#pragma once

#include <LibCore/Identifiers.h>

namespace lycheeseam {

/// What one engine reports about its weights.
struct engine_state
{
  backend_server_id mServer;
  weights_version mLoaded;
  /// The weights being loaded; empty when none are.
  weights_version mLoading;
};

}
