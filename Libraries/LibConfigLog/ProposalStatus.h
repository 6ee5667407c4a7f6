#pragma once

namespace lycheeseam {

/// How the fold decided a proposal.
enum class proposal_status
{
  /// All of its changes are in force.
  Accepted,
  /// A row was changed after the proposal's author read it; none of the
  /// changes is in force.
  Conflict,
  /// It breaks a rule; none of its changes is in force.
  Refused,
};

}
