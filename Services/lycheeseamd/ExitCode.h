#pragma once

namespace lycheeseam {

/// What lycheeseamd's exit status says.
enum class exit_code
{
  /// A planned stop, or a settings file without faults.
  Success = 0,
  /// Something failed while running, such as a port that is taken.
  Failure = 1,
  /// The command line is wrong.
  Usage = 2,
  /// The settings file has faults, or can't be read.
  Settings = 3,
};

}
