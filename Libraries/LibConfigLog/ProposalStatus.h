#pragma once

namespace lycheeseam {

/// What the fold made of a proposal.
enum class proposal_status
{
  /// All its changes are in force.
  Accepted,
  /// A row it changes had been changed before; nothing is in force.
  Conflict,
  /// It breaks a rule; nothing is in force.
  Refused,
};

}
