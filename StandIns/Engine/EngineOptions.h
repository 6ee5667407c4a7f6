#pragma once

#include <LibCore/Identifiers.h>

#include <StandIns/EngineModel/EngineSettings.h>

#include <chrono>

namespace lycheeseam::standin {

/// The command-line options of a stand-in engine.
struct engine_options
{
  backend_server_id mId;
  engine_settings mSpeed;
  /// The model loaded at the start; if empty, the engine answers for any model.
  model_name mModel;
  weights_version mVersion;
  /// Whether orders with an outdated fencing number are refused.
  bool mChecksFencing = true;
  /// How long loading new weights takes.
  std::chrono::milliseconds mWeightLoadTime{ 400 };
  /// The length of an answer to a request without max_tokens.
  token_count mDefaultMaxTokens = 64;
};

}
