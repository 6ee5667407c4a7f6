#pragma once

#include <LibCore/Identifiers.h>

#include <string>

namespace lycheeseam::standin {

/// The action that an order requests from an engine.
enum class engine_order_kind
{
  LoadWeights,
  UnloadWeights,
  LoadAdapter,
  UnloadAdapter,
  SetRole,
};

/// An order to an engine, with the fencing number of its sender.
struct engine_order
{
  engine_order_kind mKind = engine_order_kind::LoadWeights;
  model_name mModel;
  weights_version mVersion;
  /// Only set in adapter orders.
  std::string mAdapter;
  /// "prefill", "decode" or "both"; only set in role orders.
  std::string mRole;
  fencing_number mFencing;
};

}
