#pragma once

#include <LibConfig/ConfigTables.h>
#include <LibConfigLog/ProposalOutcome.h>
#include <LibRecords/ConfigProposal.h>

#include <functional>
#include <optional>
#include <string>

namespace lycheeseam {

/// Takes what became of a proposal; nothing when its end isn't known, or it
/// surely never came into force because the log is out.
using proposal_callback =
  std::function<void(std::optional<proposal_outcome> const&)>;

/// What operators' calls need of the control thread; used on that thread.
template<typename Control>
concept admin_control = requires(Control& aControl,
                                 config_proposal aProposal,
                                 proposal_callback aDone)
{
  {
    aControl.Tables()
    } -> std::convertible_to<config_tables const&>;
  aControl.Propose(aProposal, aDone);
  {
    aControl.StatusText()
    } -> std::convertible_to<std::string>;
  {
    aControl.MetricsText()
    } -> std::convertible_to<std::string>;
};

}
