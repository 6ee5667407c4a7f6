#pragma once

#include <LibAdmin/AdminAnswer.h>
#include <LibAdmin/AdminCall.h>
#include <LibAdmin/AdminControl.h>
#include <LibAdmin/FormatOutcome.h>
#include <LibAdmin/RowCalls.h>
#include <LibCodec/ConfigFileCodec.h>
#include <LibConfigLog/ConfigDiff.h>
#include <LibCore/InvalidInput.h>

#include <functional>
#include <utility>

namespace lycheeseam {

/// Receives the answer to a call; called once, on the control thread.
using admin_callback = std::function<void(admin_answer)>;

/// Executes operators' calls: reads tables, and proposes changes to them. Used
/// on the control thread only.
template<typename Control>
class admin_call_handler
{
public:
  explicit admin_call_handler(Control& aControl)
    : mControl(aControl)
  {
  }

  /// Executes a call and passes its answer to aDone; invalid input becomes an
  /// answer with status 400.
  void Handle(admin_call const& aCall, admin_callback aDone)
  {
    // Not a constraint of the template parameter: Control may have a member of
    // this type, and is incomplete then.
    static_assert(admin_control<Control>);
    try {
      Dispatch(aCall, aDone);
    } catch (invalid_input const& fault) {
      aDone(ErrorAnswer(400, fault.what()));
    }
  }

private:
  void Dispatch(admin_call const& aCall, admin_callback const& aDone)
  {
    if (aCall.mResource == "status")
      return aDone({ .mBody = mControl.StatusText() });
    if (aCall.mResource == "metrics") {
      return aDone({ .mContentType = "text/plain; version=0.0.4",
                     .mBody = mControl.MetricsText() });
    }
    if (aCall.mResource == "apply")
      return Apply(aCall, aDone);
    if (aCall.mVerb == admin_verb::Read)
      return aDone(ReadRows(mControl.Tables(), aCall));
    Propose(aCall, { MakeRowChange(mControl.Tables(), aCall) }, aDone);
  }

  void Apply(admin_call const& aCall, admin_callback const& aDone)
  {
    config_file const target = DecodeConfigFile(aCall.mBody);
    std::vector<any_row_change> changes = DiffTables(mControl.Tables(), target);
    if (changes.empty() || aCall.mMode == apply_mode::DryRun)
      return aDone({ .mBody = FormatChanges(changes) });
    Propose(aCall, std::move(changes), aDone);
  }

  void Propose(admin_call const& aCall,
               std::vector<any_row_change> aChanges,
               admin_callback const& aDone)
  {
    config_proposal proposal{ .mOperator = aCall.mOperator,
                              .mChanges = std::move(aChanges) };
    mControl.Propose(std::move(proposal),
                     [aDone](std::optional<proposal_outcome> const& aOutcome) {
                       aDone(OutcomeAnswer(aOutcome));
                     });
  }

  Control& mControl;
};

}
