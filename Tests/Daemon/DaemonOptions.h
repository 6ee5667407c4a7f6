#pragma once

#include <string>
#include <vector>

namespace lycheeseam {

/// What a process gets as its standard output.
enum class standard_output
{
  Null,
  Closed,
  /// A pipe that nobody reads any more.
  BrokenPipe,
};

/// How a lycheeseamd is started.
struct daemon_options
{
  std::vector<std::string> mArguments;
  /// Variables in the form NAME=VALUE; it inherits none.
  std::vector<std::string> mEnvironment;
  standard_output mOutput = standard_output::Null;
};

}
