#pragma once

#include "Message.h"
#include "Record.h"

#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <sys/wait.h>

#include <cstdlib>
#include <filesystem>
#include <thread>

namespace review {

/// A process of the router, started with the command of the deploy file and
/// settings as the template renders them for a small deployment.
class instance
{
public:
  struct options
  {
    std::string mName;
    std::string mDomain;
    /// A loopback address of its own.
    std::string mHost;
    address mStore;
    std::filesystem::path mFolder;
  };

  explicit instance(options const& aOptions)
    : mName(aOptions.mName)
    , mCallers({ aOptions.mHost, listener{ aOptions.mHost }.Address().mPort })
    , mReadiness({ aOptions.mHost, listener{ aOptions.mHost }.Address().mPort })
  {
    std::string const& host = aOptions.mHost;
    address const addresses{ host, listener{ host }.Address().mPort };
    address const metrics{ host, listener{ host }.Address().mPort };
    address const peers{ host, FreePortPair(host) };
    nlohmann::json const settings{ { "instance", aOptions.mName },
                                   { "failure_domain", aOptions.mDomain },
                                   { "listen",
                                     { { "callers", mCallers.Text() },
                                       { "readiness", mReadiness.Text() },
                                       { "addresses", addresses.Text() },
                                       { "peers", peers.Text() },
                                       { "metrics", metrics.Text() } } },
                                   { "store", aOptions.mStore.Text() },
                                   { "cores", 0.25 },
                                   { "limits",
                                     { { "stop_s", 8 },
                                       { "quota_slack", 110'000 },
                                       { "quota_overshoot", 0.1 },
                                       { "quota_window_s", 8 },
                                       { "retry_ratio", 0.2 },
                                       { "retry_slack", 54 },
                                       { "retry_window_s", 10 },
                                       { "weights_ms", 8'000 },
                                       { "lease_ms", 3'000 } } } };
    mSettings = aOptions.mFolder / (aOptions.mName + ".json");
    mLog = aOptions.mFolder / (aOptions.mName + ".log");
    std::ofstream{ mSettings } << settings.dump(2);
    Start();
  }
  instance(instance const&) = delete;
  instance& operator=(instance const&) = delete;
  ~instance() { Signal(SIGKILL); }

  [[nodiscard]] address const& Callers() const noexcept { return mCallers; }
  [[nodiscard]] std::string const& Name() const noexcept { return mName; }

  /// Waits until the instance says that it is ready.
  void AwaitReady() const
  {
    constexpr milliseconds kLimit{ 15'000 };
    constexpr milliseconds kPause{ 50 };
    steady::time_point const end = steady::now() + kLimit;
    while (!IsReady()) {
      if (steady::now() > end)
        throw setup_error(mName + " isn't ready");
      std::this_thread::sleep_for(kPause);
    }
  }

  /// Starts the process again after it was killed.
  void Restart() { Start(); }

  /// Sends a signal; one that kills the process also collects it.
  void Signal(int aSignal)
  {
    if (mProcess <= 0)
      return;
    ::kill(mProcess, aSignal);
    if (aSignal != SIGKILL)
      return;
    ::waitpid(mProcess, nullptr, 0);
    mProcess = 0;
  }

private:
  void Start()
  {
    constexpr char const* kProgram = "target/Services/lycheeseamd/lycheeseamd";
    if (::access(kProgram, X_OK) != 0)
      throw setup_error(std::string{ "no program " } + kProgram);
    std::string const variable = "LYCHEESEAM_SETTINGS=" + mSettings.string();
    mProcess = ::fork();
    if (mProcess != 0)
      return;
    int const log =
      ::open(mLog.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    char* const arguments[] = { const_cast<char*>(kProgram),
                                const_cast<char*>("--fleet"),
                                nullptr };
    char* const variables[] = { const_cast<char*>(variable.c_str()), nullptr };
    ::execve(kProgram, arguments, variables);
    ::_exit(127);
  }

  [[nodiscard]] bool IsReady() const
  {
    constexpr milliseconds kTimeout{ 1'000 };
    std::unique_ptr<connection> const query = connection::Open(mReadiness);
    if (!query || !query->Send("GET /api/ready HTTP/1.1\r\nHost: " +
                               mReadiness.Text() + "\r\n\r\n"))
      return false;
    std::optional<message> const answer =
      message_reader{ *query }.ReadHead(kTimeout);
    return answer && answer->Second() == "200";
  }

  std::string mName;
  address mCallers;
  address mReadiness;
  std::filesystem::path mSettings;
  std::filesystem::path mLog;
  pid_t mProcess = 0;
};

/// A folder for settings and logs, removed at the end.
class temporary_folder
{
public:
  temporary_folder()
  {
    std::string pattern =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr)
      throw setup_error("no temporary folder");
    mPath = pattern;
  }
  temporary_folder(temporary_folder const&) = delete;
  temporary_folder& operator=(temporary_folder const&) = delete;
  ~temporary_folder()
  {
    if (std::getenv("KEEP") != nullptr)
      return;
    std::error_code ignored;
    std::filesystem::remove_all(mPath, ignored);
  }

  [[nodiscard]] std::filesystem::path const& Path() const noexcept
  {
    return mPath;
  }

private:
  std::filesystem::path mPath;
};

}
