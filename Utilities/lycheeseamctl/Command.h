#pragma once

#include <span>
#include <string>

namespace lycheeseam {

/// The call of the admin API that a command line stands for.
struct command
{
  std::string mMethod;
  std::string mPath;
  /// The path of the file with the call's body; empty for none.
  std::string mBodyFile;
};

/// Parses the positional arguments of the command line. Throws invalid_input
/// when the command is unknown or has wrong arguments.
command
ParseCommand(std::span<std::string const> aPositionals, bool aIsDryRun);

}
