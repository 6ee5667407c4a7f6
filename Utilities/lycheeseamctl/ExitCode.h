#pragma once

#include <cstdint>

namespace lycheeseam {

/// The exit status of lycheeseamctl.
enum class exit_code
{
  Success = 0,
  /// The instance doesn't answer, or a file can't be read.
  Failure = 1,
  /// The command line is wrong.
  Usage = 2,
  /// The call is malformed or unauthorized, or names a missing row; also stands
  /// for any HTTP status that has no value of its own here.
  BadCall = 3,
  /// A row was changed concurrently; both versions are printed.
  Conflict = 4,
  /// The change violates rules, which are printed.
  Refused = 5,
  /// The log did not accept the change in time; it may still come into force.
  Unknown = 6,
};

/// The exit status for an HTTP status of the admin API.
exit_code
ExitCodeOf(std::uint16_t aStatus);

}
