#pragma once

namespace lycheeseam {

/// The lowest severity that is logged.
enum class log_level
{
  Debug,
  Info,
  Warn,
  Error,
};

}
