#pragma once

namespace lycheeseam {

/// The exit status of lycheeseamd.
enum class exit_code
{
  /// A planned stop, or a valid settings file with --check_config.
  Success = 0,
  /// A failure at run time, such as a port that is in use.
  Failure = 1,
  /// The command line is wrong.
  Usage = 2,
  /// The settings file is invalid or can't be read.
  Settings = 3,
};

}
