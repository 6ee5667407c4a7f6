#pragma once

#include <LibCore/Identifiers.h>

#include <StandIns/EngineModel/EngineOrder.h>
#include <StandIns/EngineModel/OrderAnswer.h>

#include <set>
#include <string>

namespace lycheeseam::standin {

/// Takes orders: checks their fencing numbers, or doesn't, and keeps what the
/// engine holds.
class order_desk
{
public:
  /// aChecksFencing: whether an order with an old number is refused.
  explicit order_desk(bool aChecksFencing);

  /// Checks an order; the caller carries out an accepted one with Complete.
  order_answer Check(engine_order const& aOrder);

  /// Puts an accepted order into force.
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

  /// Orders with an old number that were carried out all the same.
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
