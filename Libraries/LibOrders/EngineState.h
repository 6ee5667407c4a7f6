#pragma once

#include <LibCore/Identifiers.h>

namespace lycheeseam {

/// The weights that one engine reports.
struct engine_state
{
  backend_server_id mServer;
  weights_version mLoaded;
  /// The weights that the engine is loading; empty when it loads none.
  weights_version mLoading;
};

}
