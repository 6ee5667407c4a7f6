#include <StandIns/Platform/PlatformServer.h>
#include <gflags/gflags.h>

#include <csignal>
#include <cstdlib>
#include <iostream>

DEFINE_uint32(port,
              0,
              "port on 127.0.0.1; 0 takes any free port, which is printed");
DEFINE_uint32(threads, 2, "worker threads");

namespace {

// The signals are blocked before any thread starts, so that only sigwait
// receives them.
sigset_t
BlockStopSignals()
{
  sigset_t signals{};
  sigemptyset(&signals);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

}

int
main(int aCount, char** aArguments)
{
  gflags::SetUsageMessage(
    "A stand-in for the platform: log, list of instances, weights.");
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  sigset_t const signals = BlockStopSignals();
  lycheeseam::standin::platform_server const server{
    static_cast<std::uint16_t>(FLAGS_port), static_cast<int>(FLAGS_threads)
  };
  std::cout << "standin-platform listens on 127.0.0.1:" << server.Port()
            << std::endl;
  int received = 0;
  sigwait(&signals, &received);
  return EXIT_SUCCESS;
}
