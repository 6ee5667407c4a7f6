#pragma once

#include <span>
#include <string>

namespace lycheeseam {

/// An operator's command as the call of the admin API that it makes.
struct command
{
  std::string mMethod;
  std::string mPath;
  /// The file whose text is the call's body; empty for none.
  std::string mBodyFile;
};

/// Reads the command line's words behind the flags; throws invalid_input
/// when they make no command.
command
ParseCommand(std::span<std::string const> aWords, bool aIsDryRun);

}
