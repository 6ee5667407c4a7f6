#pragma once

#include <cstdint>

namespace lycheeseam {

/// What lycheeseamctl's exit status says.
enum class exit_code
{
  Success = 0,
  /// The instance can't be reached, or a file can't be read.
  Failure = 1,
  /// The command line is wrong.
  Usage = 2,
  /// The call is malformed, or what it names isn't there.
  BadCall = 3,
  /// A row was changed meanwhile; both versions are shown.
  Conflict = 4,
  /// The change breaks a rule, which is shown.
  Refused = 5,
  /// The log did not take the change in time: it may come into force.
  Unknown = 6,
};

/// The exit status that goes with an answer's HTTP status.
exit_code
ExitCodeOf(std::uint16_t aStatus);

}
