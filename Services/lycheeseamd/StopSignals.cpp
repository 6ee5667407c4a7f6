#include "StopSignals.h"

#include <LibEvents/EventLog.h>

#include <pthread.h>

#include <cstdint>
#include <initializer_list>

namespace lycheeseam {

namespace {

// Logs a signal; true when it stops the process.
bool
IsStop(int aSignal)
{
  LogEvent("signal", { { "number", std::int64_t{ aSignal } } });
  return aSignal != SIGHUP;
}

}

stop_signals::stop_signals()
{
  sigemptyset(&mSignals);
  for (int const signal : { SIGTERM, SIGINT, SIGHUP })
    sigaddset(&mSignals, signal);
  pthread_sigmask(SIG_BLOCK, &mSignals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

void
stop_signals::Await() const
{
  int signal = SIGHUP;
  do {
    sigwait(&mSignals, &signal);
  } while (!IsStop(signal));
}

bool
stop_signals::AwaitFor(std::chrono::milliseconds aTime) const
{
  std::chrono::seconds const seconds =
    std::chrono::duration_cast<std::chrono::seconds>(aTime);
  timespec const time{ .tv_sec = seconds.count(),
                       .tv_nsec =
                         std::chrono::nanoseconds{ aTime - seconds }.count() };
  // A negative result means that the time has passed.
  int const signal = sigtimedwait(&mSignals, nullptr, &time);
  return signal > 0 && IsStop(signal);
}

}
