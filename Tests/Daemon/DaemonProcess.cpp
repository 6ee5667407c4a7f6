#include "DaemonProcess.h"

#include <Tests/Support/ArgumentPointers.h>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <filesystem>
#include <thread>
#include <vector>

namespace lycheeseam {

namespace {

constexpr int kNotRunExitCode = 127;

// The descriptor that becomes the standard output.
int
OpenOutput(standard_output aOutput)
{
  if (aOutput != standard_output::BrokenPipe)
    return open("/dev/null", O_WRONLY | O_CLOEXEC);
  std::array<int, 2> ends{};
  if (pipe2(ends.data(), O_CLOEXEC) != 0)
    return -1;
  close(ends[0]);
  return ends[1];
}

}

daemon_process::daemon_process(daemon_options const& aOptions)
{
  std::vector<std::string> arguments{ LYCHEESEAMD_PROGRAM };
  arguments.insert(
    arguments.end(), aOptions.mArguments.begin(), aOptions.mArguments.end());
  std::vector<std::string> environment = aOptions.mEnvironment;
  std::vector<char*> const argumentPointers = ArgumentPointers(arguments);
  std::vector<char*> const environmentPointers = ArgumentPointers(environment);
  int const output = OpenOutput(aOptions.mOutput);
  mPid = fork();
  if (mPid == 0) {
    // Only system calls here: a lock that another thread held at the fork stays
    // locked in the child.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(output, STDOUT_FILENO);
    if (aOptions.mOutput == standard_output::Closed)
      close(STDOUT_FILENO);
    // It must not inherit the test's own sockets.
    syscall(SYS_close_range, STDERR_FILENO + 1, ~0U, 0);
    execve(argumentPointers.front(),
           argumentPointers.data(),
           environmentPointers.data());
    _exit(kNotRunExitCode);
  }
  close(output);
}

daemon_process::~daemon_process()
{
  if (mStatus)
    return;
  Signal(SIGKILL);
  waitpid(mPid, nullptr, 0);
}

void
daemon_process::Signal(int aSignal) const
{
  // After the wait, the process id may belong to another process.
  if (!mStatus)
    kill(mPid, aSignal);
}

std::optional<int>
daemon_process::Wait(std::chrono::milliseconds aTime)
{
  constexpr std::chrono::milliseconds kInterval{ 5 };
  std::chrono::steady_clock::time_point const end =
    std::chrono::steady_clock::now() + aTime;
  while (!mStatus) {
    int status = 0;
    if (waitpid(mPid, &status, WNOHANG) == mPid)
      mStatus = status;
    else if (std::chrono::steady_clock::now() >= end)
      break;
    else
      std::this_thread::sleep_for(kInterval);
  }
  return mStatus;
}

std::string
daemon_process::DescriptorPath(int aDescriptor) const
{
  return std::filesystem::read_symlink("/proc/" + std::to_string(mPid) +
                                       "/fd/" + std::to_string(aDescriptor));
}

}
