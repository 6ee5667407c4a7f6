#pragma once

#include <LibCore/Identifiers.h>

namespace lycheeseam {

/// Orders an engine to load weights.
struct engine_order
{
  backend_server_id mServer;
  model_name mModel;
  weights_version mWeights;
  /// An engine that checks fencing numbers refuses the order if it has received
  /// one with a larger number.
  fencing_number mFencing;

  bool operator==(engine_order const&) const = default;
};

}
