#pragma once

#include <LibCore/Identifiers.h>

#include <string>

namespace lycheeseam::standin {

/// What an order asks of an engine.
enum class engine_order_kind
{
  LoadWeights,
  UnloadWeights,
  LoadAdapter,
  UnloadAdapter,
  SetRole,
};

/// An order to an engine.
struct engine_order
{
  engine_order_kind mKind = engine_order_kind::LoadWeights;
  model_name mModel;
  weights_version mVersion;
  /// Of adapter orders.
  std::string mAdapter;
  /// "prefill", "decode" or "both", of role orders.
  std::string mRole;
  fencing_number mFencing;
};

}
