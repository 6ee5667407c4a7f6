#pragma once

#include <chrono>
#include <csignal>

namespace lycheeseam {

/// The signals of a process: SIGTERM and SIGINT stop it, SIGHUP says that its
/// settings have changed. They are blocked, so that a thread can wait for them
/// and no signal handler is needed.
class stop_signals
{
public:
  /// Blocks the signals in the calling thread, and in the threads that it
  /// starts later. Also ignores SIGPIPE, so that a write to a closed connection
  /// or pipe fails instead of ending the process.
  stop_signals();

  /// Returns on a signal to stop; logs the others.
  void Await() const;

  /// Waits for aTime; true on a signal to stop.
  [[nodiscard]] bool AwaitFor(std::chrono::milliseconds aTime) const;

private:
  sigset_t mSignals{};
};

}
