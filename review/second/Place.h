// The stand-ins of the second review: the platform's store, a model worker,
// and a machine that runs the program of the deploy file.
#pragma once

#include "Net.h"

#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>

namespace second {

using nlohmann::json;

// What was sent, answered and run, with the time since the start.
class record_file
{
public:
  explicit record_file(std::string const& aPath)
    : mFile(aPath)
  {
  }
  void Line(std::string const& aText)
  {
    std::lock_guard const lock(mMutex);
    mFile << NowMs() - mStart << " ms  " << aText << std::endl;
  }

private:
  std::mutex mMutex;
  std::ofstream mFile;
  std::int64_t const mStart = NowMs();
};

inline std::string
Base64(std::string const& aBytes)
{
  static constexpr std::string_view kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < aBytes.size(); i += 3) {
    std::uint32_t bits = 0;
    for (std::size_t j = i; j < i + 3; ++j)
      bits = bits << 8 |
             (j < aBytes.size() ? static_cast<unsigned char>(aBytes[j]) : 0);
    for (std::size_t j = 0; j < 4; ++j)
      text += i + j <= aBytes.size() ? kDigits[bits >> (18 - 6 * j) & 63] : '=';
  }
  return text;
}

// The store in the form of a log, as far as the program calls it.
class store
{
public:
  explicit store(std::string const& aIp)
    : mServer(aIp, [this](http_message const& aRequest, channel& aChannel) {
      return Serve(aRequest, aChannel);
    })
  {
  }

  std::string Name() const { return mServer.Name(); }

  // Writes a record of a keyed topic; no value drops the key.
  void Put(std::string const& aTopic,
           std::string const& aKey,
           std::string const& aValue)
  {
    std::lock_guard const lock(mMutex);
    mTopics[aTopic].push_back(static_cast<char>(aKey.size()) + aKey + aValue);
  }

private:
  static std::string Query(std::string const& aTarget, std::string const& aName)
  {
    std::size_t at = aTarget.find('?');
    while (at != std::string::npos) {
      std::size_t const next = aTarget.find('&', at + 1);
      std::string const pair = aTarget.substr(at + 1, next - at - 1);
      if (pair.starts_with(aName + "="))
        return pair.substr(aName.size() + 1);
      at = next;
    }
    return "";
  }

  static std::uint32_t BigEndian(std::string const& aBytes, std::size_t aAt)
  {
    std::uint32_t value = 0;
    for (std::size_t i = aAt; i < aAt + 4; ++i)
      value = value << 8 | static_cast<unsigned char>(aBytes[i]);
    return value;
  }

  static std::string Bytes(std::uint64_t aValue, int aSize)
  {
    std::string bytes;
    for (int i = aSize - 1; i >= 0; --i)
      bytes += static_cast<char>(aValue >> (8 * i) & 255);
    return bytes;
  }

  bool Serve(http_message const& aRequest, channel& aChannel)
  {
    constexpr std::string_view kJson = "Content-Type: application/json\r\n";
    std::string const target = aRequest.Word(1);
    std::string const from = Query(target, "from");
    std::string const at = Query(target, "at");
    std::unique_lock lock(mMutex);
    std::vector<std::string>& records = mTopics[Query(target, "topic")];
    std::size_t const end = records.size();
    std::string body;
    int status = 200;
    if (target.starts_with("/api/log-append")) {
      if (!at.empty() && std::stoull(at) != end) {
        status = 412;
        body = json{ { "end", end } }.dump();
      } else {
        for (std::size_t i = 0; i + 4 <= aRequest.mBody.size();) {
          std::size_t const size = BigEndian(aRequest.mBody, i);
          records.push_back(aRequest.mBody.substr(i + 4, size));
          i += 4 + size;
        }
        body = json{ { "offset", end }, { "end", records.size() } }.dump();
      }
    } else if (target.starts_with("/api/log-read")) {
      body = Bytes(end, 8) + Bytes(0, 8);
      for (std::size_t i = std::stoull(from); i < end; ++i)
        body += Bytes(records[i].size(), 4) + records[i];
    } else if (target.starts_with("/api/log-newest")) {
      std::map<std::string, std::size_t> newest;
      for (std::size_t i = 0; i < end; ++i) {
        auto const size = static_cast<unsigned char>(records[i][0]);
        std::string const key = records[i].substr(1, size);
        if (records[i].size() > 1U + size)
          newest[key] = i;
        else
          newest.erase(key);
      }
      json items = json::array();
      for (auto const& [key, offset] : newest)
        items.push_back(
          { { "key", key },
            { "value", Base64(records[offset].substr(1 + key.size())) },
            { "offset", offset } });
      body =
        json{ { "items", items }, { "more", false }, { "end", end } }.dump();
    } else {
      status = 404;
    }
    lock.unlock();
    return Answer(aChannel,
                  status,
                  target.starts_with("/api/log-read") ? ""
                                                      : std::string{ kJson },
                  body);
  }

  std::mutex mMutex;
  std::map<std::string, std::vector<std::string>> mTopics;
  http_server mServer;
};

struct run_of_worker
{
  std::int64_t mAtMs;
  std::string mId;
  std::string mTenant;
  std::size_t mBytes;
  std::string mSalt;
  std::string mPrefix;
};

// A sound worker of the one service: registers itself in the store and
// answers each request after a fixed time.
class worker
{
public:
  worker(std::string aIp, std::string aId, store& aStore, record_file& aRecord)
    : mId(std::move(aId))
    , mStore(aStore)
    , mRecord(aRecord)
    , mServer(std::move(aIp),
              [this](http_message const& aRequest, channel& aChannel) {
                return Serve(aRequest, aChannel);
              })
    , mBeats([this] { Beat(); })
  {
  }
  worker(worker const&) = delete;
  worker& operator=(worker const&) = delete;
  ~worker()
  {
    mStops = true;
    mBeats.join();
  }

  // How long a run lasts, by the size of its body.
  std::atomic<std::int64_t> mTakesMs{ 20 };
  std::atomic<std::int64_t> mLongTakesMs{ 20 };

  std::vector<run_of_worker> Runs()
  {
    std::lock_guard const lock(mMutex);
    return mRuns;
  }

private:
  void Beat()
  {
    constexpr int kBeatMs = 1200;
    constexpr int kStepMs = 100;
    for (int seq = 0; !mStops; ++seq) {
      mStore.Put("keyed.servers",
                 mId,
                 json{ { "service", "svc" },
                       { "addr", mServer.Name() },
                       { "zone", "bkk-a" },
                       { "version", "v1" },
                       { "slots", 64 },
                       { "state", "ready" },
                       { "cold_left_ms", 0 },
                       { "seq", seq },
                       { "born", kBorn } }
                   .dump());
      for (int waited = 0; waited < kBeatMs && !mStops; waited += kStepMs)
        SleepMs(kStepMs);
    }
  }

  bool Serve(http_message const& aRequest, channel& aChannel)
  {
    std::string const expected = aRequest.Header("expect-instance");
    if (aRequest.Word(1) == "/health")
      return Answer(aChannel, 200, "Instance-Id: " + mId + "\r\n", "");
    std::string const id = aRequest.Header("request-id");
    std::string const echo = "Request-Id: " + id + "\r\n";
    if (!expected.empty() && expected != mId)
      return Answer(aChannel, 421, echo + "Not-Run: 1\r\n", "");
    if (aRequest.Word(1).starts_with("/api/"))
      return Answer(aChannel, 404, "", "");
    std::string const tenant = aRequest.Header("tenant");
    {
      std::lock_guard const lock(mMutex);
      mRuns.push_back({ NowMs(),
                        id,
                        tenant,
                        aRequest.mBody.size(),
                        aRequest.Header("cache-salt"),
                        aRequest.Header("prompt-prefix") });
    }
    mRecord.Line("worker " + mId + " runs " + id + ", tenant '" + tenant +
                 "', Cache-Salt '" + aRequest.Header("cache-salt") +
                 "', body of " + std::to_string(aRequest.mBody.size()) +
                 " bytes");
    constexpr std::size_t kLongBytes = 1000;
    SleepMs(aRequest.mBody.size() > kLongBytes ? mLongTakesMs : mTakesMs);
    return Answer(
      aChannel, 200, echo + "Server-Stamp: " + mId + "." + id + "\r\n", "done");
  }

  static constexpr std::int64_t kBorn = 1790000000000;

  std::string mId;
  store& mStore;
  record_file& mRecord;
  std::mutex mMutex;
  std::vector<run_of_worker> mRuns;
  std::atomic<bool> mStops{ false };
  http_server mServer;
  std::thread mBeats;
};

// One machine with the program of the deploy file, under a loopback address
// of its own.
class machine
{
public:
  machine(std::string aName,
          std::string aIp,
          std::string const& aStoreAddress,
          std::filesystem::path const& aFolder)
    : mName(std::move(aName))
    , mIp(std::move(aIp))
    , mSettings(aFolder / (mName + ".json"))
    , mOutput(aFolder / (mName + ".log"))
  {
    auto const address = [this](int& aPort) {
      aPort = FreePort(mIp);
      return mIp + ":" + std::to_string(aPort);
    };
    int other = 0;
    // As platform/settings.json.template with the bounds of the site file.
    json const settings = { { "instance", mName },
                            { "failure_domain", "bkk-a" },
                            { "listen",
                              { { "callers", address(mFront) },
                                { "readiness", address(mReady) },
                                { "addresses", address(other) },
                                { "peers", address(other) },
                                { "metrics", address(other) } } },
                            { "store", aStoreAddress },
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
    std::ofstream(mSettings) << settings.dump(2) << "\n";
    Start();
  }
  machine(machine const&) = delete;
  machine& operator=(machine const&) = delete;
  ~machine() { Kill(); }

  void Start()
  {
    mPid = fork();
    if (mPid != 0)
      return;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    int const output =
      open(mOutput.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(output, 1);
    dup2(output, 2);
    setenv("LYCHEESEAM_SETTINGS", mSettings.c_str(), 1);
    execl("target/Services/lycheeseamd/lycheeseamd",
          "target/Services/lycheeseamd/lycheeseamd",
          "--fleet",
          nullptr);
    _exit(127);
  }

  void Kill()
  {
    if (mPid <= 0)
      return;
    kill(mPid, SIGKILL);
    waitpid(mPid, nullptr, 0);
    mPid = 0;
  }

  // Memory in MB, by a field of the process's status; 0 without a process.
  double MemoryMb(std::string const& aField = "VmRSS") const
  {
    std::ifstream status("/proc/" + std::to_string(mPid.load()) + "/status");
    constexpr double kKbInMb = 1024;
    for (std::string line; std::getline(status, line);)
      if (line.starts_with(aField + ":"))
        return std::strtod(line.c_str() + aField.size() + 1, nullptr) / kKbInMb;
    return 0;
  }

  bool IsReady() const
  {
    auto const open = channel::Connect(mIp, mReady);
    if (!open ||
        !open->Write("GET /api/ready HTTP/1.1\r\nHost: " + mIp + "\r\n\r\n"))
      return false;
    auto const answer = open->Read(1000, false);
    return answer && answer->Word(1) == "200";
  }

  bool WaitReady(std::int64_t aMs) const
  {
    for (std::int64_t const until = NowMs() + aMs; NowMs() < until;) {
      if (IsReady())
        return true;
      SleepMs(100);
    }
    return false;
  }

  std::string const& Name() const { return mName; }
  std::unique_ptr<channel> Connect() const
  {
    return channel::Connect(mIp, mFront);
  }

private:
  std::string mName;
  std::string mIp;
  std::filesystem::path mSettings;
  std::filesystem::path mOutput;
  int mFront = 0;
  int mReady = 0;
  std::atomic<pid_t> mPid{ 0 };
};

// A configuration with one service and the two routes of a small deployment:
// one of each kind.
inline json
Configuration(int aVersion, json const& aTenants)
{
  auto const route = [](std::string const& aName, std::string const& aKind) {
    return json{ { "name", "r-" + aName },
                 { "host", "svc.example" },
                 { "path_prefix", "/" + aName + "/" },
                 { "kind", aKind },
                 { "timeout_ms", 15000 },
                 { "target_latency_ms", 2000 },
                 { "priority", 1 },
                 { "service", "svc" },
                 { "max_attempts", 2 },
                 { "public", false },
                 { "sticky", false },
                 { "resumable", false } };
  };
  return { { "version", aVersion },
           { "routes",
             { route("unsafe", "non_idempotent"),
               route("safe", "idempotent") } },
           { "services",
             { { { "name", "svc" },
                 { "health_path", "/health" },
                 { "max_conns", 360 },
                 { "protocol", "h1" },
                 { "tls", false } } } },
           { "limits",
             { { "max_header_bytes", 16384 },
               { "max_body_bytes", 4194304 },
               { "header_timeout_ms", 3000 },
               { "idle_timeout_ms", 15000 } } },
           { "tenants", aTenants } };
}

inline std::string
Post(std::string const& aPath,
     std::string const& aId,
     std::string const& aKey,
     int aDeadlineMs,
     std::string const& aBody)
{
  std::string request =
    "POST " + aPath + " HTTP/1.1\r\nHost: svc.example\r\nRequest-Id: " + aId +
    "\r\nDeadline-Ms: " + std::to_string(aDeadlineMs) + "\r\n";
  if (!aKey.empty())
    request += "Authorization: Bearer " + aKey + "\r\n";
  return request + "Content-Length: " + std::to_string(aBody.size()) +
         "\r\n\r\n" + aBody;
}

// False with TROUBLE=0: the same without the disruption.
inline bool
HasTrouble()
{
  char const* const trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string_view(trouble) != "0";
}

// The arguments are the folder of the record and a temporary folder. A case
// returns 1 if the rule was broken, 0 if it held, 2 if it could not run.
inline int
RunCase(int aCount,
        char** aArguments,
        std::function<int(record_file&, std::filesystem::path const&)> aCase)
{
  if (aCount != 3) {
    std::cerr << "needs the folder of the record and a temporary folder\n";
    return 2;
  }
  record_file record(std::string{ aArguments[1] } + "/record.txt");
  record.Line(HasTrouble() ? "with the disruption" : "TROUBLE=0");
  try {
    int const result = aCase(record, aArguments[2]);
    std::string const text = result == 0   ? "the rule held"
                             : result == 1 ? "the rule was broken"
                                           : "the case could not run";
    record.Line(text);
    std::cout << text << "\n";
    return result;
  } catch (std::exception const& failure) {
    record.Line(std::string("could not run: ") + failure.what());
    return 2;
  }
}

}
