#pragma once

#include <LibConfigLog/ConfigFold.h>
#include <LibCore/SystemClock.h>
#include <LibLimits/FleetBudget.h>
#include <LibOnce/OnceGate.h>
#include <LibRecords/ReplicatedState.h>

#include <string>
#include <string_view>

namespace lycheeseam {

/// All that this instance folds from the log, as one state with an offset:
/// the operators' tables, the holders of budget slots, and the claims of
/// non-idempotent requests.
class fleet_state
{
public:
  /// The budget and the gate keep folds of their own; they outlive this.
  fleet_state(fleet_budget& aBudget, once_gate& aGate);

  /// Applies the next entry of the log.
  void Apply(log_entry const& aEntry);

  /// The last entry applied; 0 before the first.
  [[nodiscard]] log_offset Offset() const noexcept { return mOffset; }

  /// The state as a checkpoint's text.
  [[nodiscard]] std::string Save() const;

  /// Goes on from a checkpoint's text. Throws invalid_input and stays as it
  /// was when a section is missing or malformed.
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
