#pragma once

#include <LibCore/Identifiers.h>

namespace lycheeseam {

/// Tells an engine to load weights.
struct engine_order
{
  backend_server_id mServer;
  model_name mModel;
  weights_version mWeights;
  /// An engine that checks refuses the order after one with a larger number.
  fencing_number mFencing;

  bool operator==(engine_order const&) const = default;
};

}
