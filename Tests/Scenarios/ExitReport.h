#pragma once

namespace lycheeseam {

/// How a child process ended.
struct exit_report
{
  /// The exit code, or -1 if a signal ended it.
  int mCode = -1;
  /// The signal that ended it, or 0.
  int mSignal = 0;
};

}
