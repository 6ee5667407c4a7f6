#include "ChildProcess.h"

#include "ScenarioFailure.h"

#include <Tests/Support/ArgumentPointers.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <utility>
#include <vector>

namespace lycheeseam {

namespace {

/// The exit code that shells use for a program that can't be executed.
constexpr int kNotRunExitCode = 127;
constexpr mode_t kOutputMode = 0644;

[[noreturn]] void
BecomeProgram(int aOutput, std::span<char* const> aArguments)
{
  // Only system calls here: a lock that another thread held at the fork stays
  // locked in the child.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  dup2(aOutput, STDOUT_FILENO);
  dup2(aOutput, STDERR_FILENO);
  execv(aArguments.front(), aArguments.data());
  _exit(kNotRunExitCode);
}

exit_report
ReportOf(siginfo_t const& aInfo)
{
  if (aInfo.si_code == CLD_EXITED)
    return { .mCode = aInfo.si_status };
  return { .mSignal = aInfo.si_status };
}

}

child_process::child_process(std::filesystem::path const& aProgram,
                             std::span<std::string const> aArguments,
                             std::filesystem::path aOutput)
  : mOutput(std::move(aOutput))
{
  std::vector<std::string> arguments{ aProgram.string() };
  arguments.insert(arguments.end(), aArguments.begin(), aArguments.end());
  std::vector<char*> const pointers = ArgumentPointers(arguments);
  int const output = open(
    mOutput.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kOutputMode);
  mPid = fork();
  if (mPid == 0)
    BecomeProgram(output, pointers);
  close(output);
  if (mPid < 0)
    throw scenario_failure("can't start the program " + aProgram.string());
  mPidDescriptor = static_cast<int>(syscall(SYS_pidfd_open, mPid, 0));
}

child_process::~child_process()
{
  if (!mExit) {
    Signal(SIGKILL);
    siginfo_t info{};
    waitid(P_PID, static_cast<id_t>(mPid), &info, WEXITED);
  }
  close(mPidDescriptor);
}

void
child_process::Signal(int aSignal) const
{
  // After the wait, the process id may belong to another process.
  if (!mExit)
    kill(mPid, aSignal);
}

std::optional<exit_report>
child_process::Wait(std::chrono::milliseconds aBound)
{
  if (mExit)
    return mExit;
  pollfd ended{ .fd = mPidDescriptor, .events = POLLIN };
  if (poll(&ended, 1, static_cast<int>(aBound.count())) != 1)
    return std::nullopt;
  siginfo_t info{};
  waitid(P_PID, static_cast<id_t>(mPid), &info, WEXITED);
  mExit = ReportOf(info);
  return mExit;
}

}
