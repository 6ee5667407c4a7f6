#pragma once

namespace lycheeseam {

/// The least severe lines that are logged.
enum class log_level
{
  Debug,
  Info,
  Warn,
  Error,
};

}
