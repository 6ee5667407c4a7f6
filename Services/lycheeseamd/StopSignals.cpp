#include "StopSignals.h"

namespace lycheeseam {

sigset_t
BlockSignals(std::span<int const> aSignals)
{
  sigset_t signals;
  sigemptyset(&signals);
  for (int const signal : aSignals)
    sigaddset(&signals, signal);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  // A write to a connection that a caller has closed must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  return signals;
}

}
