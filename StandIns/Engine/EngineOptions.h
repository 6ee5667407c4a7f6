#pragma once

#include <LibCore/Identifiers.h>

#include <StandIns/EngineModel/EngineSettings.h>

#include <chrono>

namespace lycheeseam::standin {

/// A stand-in engine's command line.
struct engine_options
{
  backend_server_id mId;
  engine_settings mSpeed;
  /// The model held at the start; empty answers for any model.
  model_name mModel;
  weights_version mVersion;
  /// Whether orders with an old fencing number are refused.
  bool mChecksFencing = true;
  /// How long new weights take.
  std::chrono::milliseconds mWeightLoadTime{ 400 };
  /// The answer's length where a request doesn't say.
  token_count mDefaultMaxTokens = 64;
};

}
