#pragma once

#include <LibCore/Identifiers.h>

#include <StandIns/EngineModel/EngineOrder.h>
#include <StandIns/EngineModel/OrderAnswer.h>

#include <set>
#include <string>

namespace lycheeseam::standin {

/// Handles orders to an engine: checks their fencing numbers, if configured to,
/// and keeps the engine's model, version, adapters and role.
class order_handler
{
public:
  /// aChecksFencing: whether an order with an outdated fencing number is
  /// refused.
  explicit order_handler(bool aChecksFencing);

  /// Checks an order; the caller applies an accepted one with Complete.
  order_answer Check(engine_order const& aOrder);

  /// Applies an accepted order to the engine's state.
  void Complete(engine_order const& aOrder);

  /// The largest fencing number seen.
  [[nodiscard]] fencing_number Newest() const { return mNewest; }

  [[nodiscard]] model_name const& Model() const { return mModel; }
  [[nodiscard]] weights_version const& Version() const { return mVersion; }
  [[nodiscard]] std::string const& Role() const { return mRole; }
  [[nodiscard]] std::set<std::string> const& Adapters() const
  {
    return mAdapters;
  }

  /// Orders with an outdated fencing number that were accepted because the
  /// check is off.
  [[nodiscard]] std::uint64_t StaleAccepted() const { return mStaleAccepted; }

private:
  bool mChecksFencing;
  fencing_number mNewest;
  model_name mModel;
  weights_version mVersion;
  std::string mRole = "both";
  std::set<std::string> mAdapters;
  std::uint64_t mStaleAccepted = 0;
};

}
