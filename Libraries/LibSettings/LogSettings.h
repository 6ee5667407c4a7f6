#pragma once

#include <LibSettings/LogLevel.h>

namespace lycheeseam {

/// What is logged and where to.
struct log_settings
{
  log_level mLevel = log_level::Info;
  /// Whether lines go to the standard error output.
  bool mConsole = true;

  bool operator==(log_settings const&) const = default;
};

}
