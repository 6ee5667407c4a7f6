#pragma once

#include <LibConfigLog/ConfigFold.h>
#include <LibCore/SystemClock.h>
#include <LibLimits/FleetBudget.h>
#include <LibOnce/OnceGate.h>
#include <LibRecords/ReplicatedState.h>

#include <string>
#include <string_view>

namespace lycheeseam {

/// All state that this instance folds from the log, at one offset: the
/// operators' tables, the holders of budget slots, and the claims of
/// non-idempotent requests.
class fleet_state
{
public:
  /// The budget and the gate keep their own parts of the state and must outlive
  /// this object.
  fleet_state(fleet_budget& aBudget, once_gate& aGate);

  /// Applies the next entry of the log.
  void Apply(log_entry const& aEntry);

  /// The offset of the last entry applied; 0 before the first.
  [[nodiscard]] log_offset Offset() const noexcept { return mOffset; }

  /// Encodes the state as a checkpoint.
  [[nodiscard]] std::string Save() const;

  /// Replaces the state by a checkpoint that covers the log up to aCovers.
  /// Throws invalid_input and leaves the state unchanged when a section is
  /// missing or malformed.
  void Load(log_offset aCovers, std::string_view aText);

  /// The operators' tables and the outcomes of proposals.
  [[nodiscard]] config_fold const& Config() const noexcept { return mConfig; }

private:
  fleet_budget& mBudget;
  once_gate& mGate;
  system_clock mClock;
  config_fold mConfig;
  log_offset mOffset;
};

static_assert(replicated_state<fleet_state>);

}
