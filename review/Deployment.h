#pragma once

#include "Record.h"
#include "Store.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <csignal>
#include <deque>
#include <filesystem>
#include <sstream>

namespace review {

/// A worker's entry in the store, written again at each liveness report.
struct worker_entry
{
  std::string mId;
  std::string mService;
  std::string mAddress;
  std::uint32_t mSlots = 8;
  /// The model that it runs, with version 1; empty for none.
  std::string mModel;
};

/// A small deployment: the store, the entries of workers, and instances of the
/// program as processes of their own, started as the deploy file says.
class deployment
{
public:
  explicit deployment(record& aRecord)
    : mRecord(aRecord)
  {
    char folder[] = "/tmp/review-XXXXXX";
    if (::mkdtemp(folder) == nullptr)
      throw std::runtime_error("can't make a temporary folder");
    mFolder = folder;
    std::thread{ [this]() { Report(); } }.detach();
  }
  deployment(deployment const&) = delete;
  deployment& operator=(deployment const&) = delete;

  /// Ends all processes that were started.
  void End()
  {
    for (instance& running : mInstances)
      Kill(std::exchange(running.mPid, 0));
    std::filesystem::remove_all(mFolder);
  }

  struct instance
  {
    std::string mName;
    pid_t mPid = 0;
    std::uint16_t mCallers = 0;
    std::uint16_t mReady = 0;
  };

  [[nodiscard]] store& Store() { return mStore; }

  void AddWorker(worker_entry aWorker)
  {
    std::lock_guard const lock{ mMutex };
    mRecord.Line("worker " + aWorker.mId + " of " + aWorker.mService + " at " +
                 aWorker.mAddress);
    mWorkers.push_back({ std::move(aWorker), Now() });
    Write(mWorkers.back());
  }

  void PutConfig(nlohmann::json const& aConfig)
  {
    mStore.Put("keyed.op", "config", aConfig.dump());
    mRecord.Line("configuration " + aConfig["version"].dump() +
                 " acknowledged: " + aConfig.dump());
  }

  /// Starts one more instance and waits until it is ready.
  instance const& StartInstance()
  {
    instance& started = mInstances.emplace_back();
    started.mName = "front-a-" + std::to_string(mInstances.size());
    std::vector<std::uint16_t> ports;
    {
      std::vector<socket_handle> held;
      for (int index = 0; index < 5; ++index) {
        auto [listener, port] = Listen();
        held.push_back(std::move(listener));
        ports.push_back(port);
      }
    }
    auto const address = [&ports](std::size_t aIndex) {
      return "127.0.0.1:" + std::to_string(ports[aIndex]);
    };
    started.mCallers = ports[0];
    started.mReady = ports[1];
    nlohmann::json const settings{ { "instance", started.mName },
                                   { "failure_domain", "a" },
                                   { "listen",
                                     { { "callers", address(0) },
                                       { "readiness", address(1) },
                                       { "addresses", address(2) },
                                       { "peers", address(3) },
                                       { "metrics", address(4) } } },
                                   { "store", mStore.Address() },
                                   { "cores", 0.25 },
                                   { "limits",
                                     { { "stop_s", 8 },
                                       { "quota_slack", 110000 },
                                       { "quota_overshoot", 0.1 },
                                       { "quota_window_s", 8 },
                                       { "retry_ratio", 0.2 },
                                       { "retry_slack", 54 },
                                       { "retry_window_s", 10 },
                                       { "weights_ms", 8000 },
                                       { "lease_ms", 3000 } } } };
    std::string const file = mFolder + "/" + started.mName + ".json";
    std::ofstream{ file } << settings.dump(2);
    Spawn(started, file);
    AwaitReady(started);
    return started;
  }

  /// True while the process runs. Records how it ended.
  bool IsRunning(instance const& aInstance)
  {
    int status = 0;
    if (aInstance.mPid <= 0)
      return false;
    if (::waitpid(aInstance.mPid, &status, WNOHANG) != aInstance.mPid)
      return true;
    mRecord.Line(aInstance.mName + " ended by itself: " +
                 (WIFSIGNALED(status)
                    ? "signal " + std::to_string(WTERMSIG(status))
                    : "exit status " + std::to_string(WEXITSTATUS(status))));
    for (instance& known : mInstances) {
      if (known.mPid == aInstance.mPid)
        known.mPid = 0;
    }
    return false;
  }

  void Kill(instance const& aInstance)
  {
    for (instance& known : mInstances) {
      if (known.mName == aInstance.mName)
        Kill(std::exchange(known.mPid, 0));
    }
  }

  /// Starts the program of an instance that has ended again.
  void Restart(std::string const& aName)
  {
    for (instance& known : mInstances) {
      if (known.mName != aName)
        continue;
      Spawn(known, mFolder + "/" + known.mName + ".json");
    }
  }

  /// What the program wrote to its standard output and error.
  [[nodiscard]] std::string Output(instance const& aInstance) const
  {
    std::ifstream file{ mFolder + "/" + aInstance.mName + ".out" };
    return { std::istreambuf_iterator<char>{ file }, {} };
  }

  /// The last line of that which isn't a line of its event log.
  [[nodiscard]] std::string LastLine(instance const& aInstance) const
  {
    std::istringstream text{ Output(aInstance) };
    std::string last;
    for (std::string line; std::getline(text, line);) {
      if (!line.empty() && line.front() != '{')
        last = line;
    }
    return last;
  }

  /// The memory that the process has in use, in megabytes.
  [[nodiscard]] static double MemoryMb(instance const& aInstance)
  {
    std::ifstream file{ "/proc/" + std::to_string(aInstance.mPid) + "/statm" };
    double total = 0;
    double resident = 0;
    file >> total >> resident;
    return resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1e6;
  }

private:
  struct reported_worker
  {
    worker_entry mEntry;
    std::uint64_t mBorn = 0;
    std::uint64_t mReports = 0;
  };

  static std::uint64_t Now()
  {
    return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch())
        .count());
  }

  static void Kill(pid_t aPid)
  {
    if (aPid <= 0)
      return;
    ::kill(aPid, SIGKILL);
    ::waitpid(aPid, nullptr, 0);
  }

  void Write(reported_worker& aWorker)
  {
    worker_entry const& entry = aWorker.mEntry;
    nlohmann::json value{ { "service", entry.mService },
                          { "addr", entry.mAddress },
                          { "zone", "a" },
                          { "version", "v1" },
                          { "slots", entry.mSlots },
                          { "state", "ready" },
                          { "cold_left_ms", 0 },
                          { "born", aWorker.mBorn },
                          { "seq", ++aWorker.mReports } };
    if (!entry.mModel.empty()) {
      value["stage"] = "unified";
      value["models"] = { { { "name", entry.mModel },
                            { "version", 1 },
                            { "adapters", nlohmann::json::array() } } };
    }
    mStore.Put("keyed.servers", entry.mId, value.dump());
  }

  void Report()
  {
    for (;;) {
      std::this_thread::sleep_for(std::chrono::milliseconds{ 1'200 });
      std::lock_guard const lock{ mMutex };
      for (reported_worker& worker : mWorkers)
        Write(worker);
    }
  }

  void Spawn(instance& aInstance, std::string const& aSettings)
  {
    std::string const output = mFolder + "/" + aInstance.mName + ".out";
    aInstance.mPid = ::fork();
    if (aInstance.mPid == 0) {
      // It ends with the case, however that ends.
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      int const file =
        ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      ::dup2(file, STDOUT_FILENO);
      ::dup2(file, STDERR_FILENO);
      ::execl("target/Services/lycheeseamd/lycheeseamd",
              "target/Services/lycheeseamd/lycheeseamd",
              "--fleet",
              "--config",
              aSettings.c_str(),
              nullptr);
      ::_exit(127);
    }
    mRecord.Line("started " + aInstance.mName + " as process " +
                 std::to_string(aInstance.mPid));
  }

  void AwaitReady(instance const& aInstance)
  {
    steady::time_point const until = steady::now() + std::chrono::seconds{ 10 };
    while (steady::now() < until) {
      if (IsReady(aInstance.mReady))
        return mRecord.Line(aInstance.mName + " is ready");
      std::this_thread::sleep_for(std::chrono::milliseconds{ 50 });
    }
    throw std::runtime_error(aInstance.mName + " isn't ready after 10 s");
  }

  static bool IsReady(std::uint16_t aPort)
  {
    socket_handle const socket = Connect(aPort);
    if (socket.Get() < 0 ||
        !SendAll(socket.Get(), "GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n"))
      return false;
    http_reader reader{ socket.Get() };
    std::optional<http_message> const answer =
      reader.Read(true, steady::now() + std::chrono::seconds{ 1 });
    return answer && answer->Status() == 200;
  }

  record& mRecord;
  std::string mFolder;
  store mStore;
  std::mutex mMutex;
  std::vector<reported_worker> mWorkers;
  std::deque<instance> mInstances;
};

/// What a caller's request got.
struct call_result
{
  std::optional<http_message> mAnswer;
  /// True when the instance closed or reset the connection.
  bool mHasClosed = false;
};

/// Sends one request over a new connection and reads its answer.
inline call_result
Call(std::uint16_t aPort,
     std::string const& aMethod,
     std::string const& aPath,
     field_list aFields,
     std::string const& aBody,
     std::chrono::milliseconds aTime)
{
  socket_handle const socket = Connect(aPort);
  if (socket.Get() < 0)
    return { .mAnswer = std::nullopt, .mHasClosed = true };
  SendAll(socket.Get(),
          FormatMessage(aMethod + " " + aPath + " HTTP/1.1", aFields, aBody));
  http_reader reader{ socket.Get() };
  call_result result;
  result.mAnswer = reader.Read(true, steady::now() + aTime);
  result.mHasClosed = reader.HasEnded();
  return result;
}

/// True unless the environment asks for a run without the disruption.
inline bool
HasTrouble()
{
  char const* const value = std::getenv("TROUBLE");
  return value == nullptr || std::string_view{ value } != "0";
}

/// Runs a case; its body returns true when the rule held.
template<typename Body>
int
RunCase(Body aBody)
{
  std::signal(SIGPIPE, SIG_IGN);
  char const* const path = std::getenv("REVIEW_RECORD");
  record lines{ path == nullptr ? "record.txt" : path };
  lines.Line(HasTrouble() ? "with the disruption" : "without the disruption");
  int status = 2;
  // Threads of the stand-ins use it until the process ends.
  deployment& site = *new deployment{ lines };
  try {
    bool const held = aBody(site, lines);
    lines.Line(held ? "the rule held" : "the rule was broken");
    status = held ? 0 : 1;
  } catch (std::exception const& fault) {
    lines.Line(std::string{ "the case couldn't run: " } + fault.what());
  }
  site.End();
  std::_Exit(status);
}

}
