#pragma once

#include <LibConfig/ConfigTables.h>
#include <LibConfigLog/ProposalOutcome.h>
#include <LibRecords/ConfigProposal.h>

#include <functional>
#include <optional>
#include <string>

namespace lycheeseam {

/// Receives the outcome of a proposal; nothing when the outcome is unknown, or
/// when the proposal can't come into force because the log is unreachable.
using proposal_callback =
  std::function<void(std::optional<proposal_outcome> const&)>;

/// What admin_call_handler needs of the control state; used on the control
/// thread only.
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
