#pragma once

#include <LibAdmin/AdminAnswer.h>
#include <LibConfigLog/ProposalOutcome.h>
#include <LibRecords/RowChange.h>

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace lycheeseam {

/// An error's answer: {"error": TEXT}.
admin_answer
ErrorAnswer(std::uint16_t aStatus, std::string_view aReason);

/// What became of a proposal: 200 in force, 409 conflict with both versions,
/// 422 refused with the rules that it breaks, 503 unknown.
admin_answer
OutcomeAnswer(std::optional<proposal_outcome> const& aOutcome);

/// Changes as a list, for a look before they are proposed.
std::string
FormatChanges(std::span<any_row_change const> aChanges);

}
