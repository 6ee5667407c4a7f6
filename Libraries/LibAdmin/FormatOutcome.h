#pragma once

#include <LibAdmin/AdminAnswer.h>
#include <LibConfigLog/ProposalOutcome.h>
#include <LibRecords/RowChange.h>

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace lycheeseam {

/// Makes the answer to a failed call, with the body {"error": REASON}.
admin_answer
ErrorAnswer(std::uint16_t aStatus, std::string_view aReason);

/// Makes the answer for a proposal's outcome: 200 in force, 409 conflict, with
/// both versions, 422 refused, with the rules that it violates, 503 unknown.
admin_answer
OutcomeAnswer(std::optional<proposal_outcome> const& aOutcome);

/// Formats changes as a JSON list, for a dry run.
std::string
FormatChanges(std::span<any_row_change const> aChanges);

}
