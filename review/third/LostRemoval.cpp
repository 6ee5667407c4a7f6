#include "Instance.h"
#include "Worker.h"

#include <iostream>

/// \file A worker's entry is removed while the instance that reads the store
/// for all restarts: whether the other instance goes on to send the worker
/// requests.

namespace review {

namespace {

constexpr char const* kService = "ledger";
constexpr char const* kHost = "maps.example";

enum class result : int
{
  Held = 0,
  Broken = 1,
  NotRun = 2,
};

std::string
Configuration()
{
  return nlohmann::json{
    { "version", 1 },
    { "routes",
      { { { "name", "r-look" },
          { "host", kHost },
          { "path_prefix", "/look/" },
          { "kind", "idempotent" },
          { "timeout_ms", 600 },
          { "target_latency_ms", 100 },
          { "priority", 2 },
          { "service", kService },
          { "max_attempts", 2 },
          { "public", false },
          { "sticky", false },
          { "resumable", false } } } },
    { "services",
      { { { "name", kService },
          { "health_path", "/health" },
          { "max_conns", 100 },
          { "protocol", "h1" },
          { "tls", false } } } },
    { "limits",
      { { "max_header_bytes", 16'384 },
        { "max_body_bytes", 4'194'304 },
        { "header_timeout_ms", 3'000 },
        { "idle_timeout_ms", 15'000 } } }
  }.dump();
}

/// The status of the answer to one request, or "none".
std::string
Call(address const& aTo, std::string const& aId)
{
  constexpr milliseconds kTimeout{ 2'000 };
  std::unique_ptr<connection> const caller = connection::Open(aTo);
  if (!caller ||
      !caller->Send("GET /look/2f HTTP/1.1\r\nHost: " + std::string{ kHost } +
                    "\r\nRequest-Id: " + aId + "\r\nDeadline-Ms: 600\r\n\r\n"))
    return "none";
  std::optional<message> const head =
    message_reader{ *caller }.ReadHead(kTimeout);
  return head ? head->Second() : "none";
}

/// Sends requests to one instance; returns how many succeeded.
unsigned
CallMany(record& aRecord, address const& aTo, std::string const& aName)
{
  constexpr unsigned kRequests = 20;
  constexpr milliseconds kPause{ 50 };
  unsigned succeeded = 0;
  for (unsigned number = 1; number <= kRequests; ++number) {
    std::string const id = aName + std::to_string(number);
    std::string const status = Call(aTo, id);
    aRecord.Write("request " + id + " is answered " + status);
    succeeded += status == "200" ? 1 : 0;
    std::this_thread::sleep_for(kPause);
  }
  return succeeded;
}

/// Waits for the next read of the servers' entries, by the instance that lives.
void
AwaitRead(store& aStore)
{
  constexpr milliseconds kStep{ 1 };
  constexpr milliseconds kLimit{ 5'000 };
  unsigned const before = aStore.Reads("keyed.servers");
  steady::time_point const end = steady::now() + kLimit;
  while (aStore.Reads("keyed.servers") == before) {
    if (steady::now() > end)
      throw setup_error("nobody reads the entries");
    std::this_thread::sleep_for(kStep);
  }
}

/// With aIsTroubled the instance that reads for all is killed, and started
/// again as the entry is removed.
result
Run(record& aRecord, bool aIsTroubled)
{
  constexpr milliseconds kSettleTime{ 4'000 };
  constexpr milliseconds kDownTime{ 500 };
  constexpr milliseconds kAfterRemoval{ 3'500 };
  temporary_folder const folder;
  store store;
  store.Put("keyed.op", "config", Configuration());
  worker::options const options{
    "", kService, "bkk-a", "", 1, milliseconds{ 5 }
  };
  worker::options stays = options;
  stays.mId = "i-2";
  worker::options leaves = options;
  leaves.mId = "i-1";
  worker const staying{ stays, store, aRecord };
  worker leaving{ leaves, store, aRecord };
  instance reader{
    { "front-bkk-a-1", "bkk-a", "127.0.1.1", store.Address(), folder.Path() }
  };
  instance other{
    { "front-bkk-a-2", "bkk-a", "127.0.1.2", store.Address(), folder.Path() }
  };
  reader.AwaitReady();
  other.AwaitReady();
  std::this_thread::sleep_for(kSettleTime);
  if (CallMany(aRecord, other.Callers(), "before-") == 0 || leaving.Runs() == 0)
    return result::NotRun;
  if (aIsTroubled) {
    aRecord.Write("SIGKILL to " + reader.Name());
    reader.Signal(SIGKILL);
    std::this_thread::sleep_for(kDownTime);
    AwaitRead(store);
  }
  leaving.Unregister();
  aRecord.Write("the entry of i-1 is removed");
  if (aIsTroubled) {
    reader.Restart();
    aRecord.Write(reader.Name() + " starts again");
  }
  std::this_thread::sleep_for(kAfterRemoval);
  unsigned const runsBefore = leaving.Runs();
  if (CallMany(aRecord, other.Callers(), "after-") == 0)
    return result::NotRun;
  unsigned const late = leaving.Runs() - runsBefore;
  aRecord.Write(std::to_string(late) + " of 20 requests to " + other.Name() +
                " reached i-1 over 3.5 s after its entry was removed");
  return late > 0 ? result::Broken : result::Held;
}

}

}

int
main(int aCount, char** aArguments)
{
  using namespace review;
  if (aCount != 2) {
    std::cerr << "usage: LostRemoval RECORD\n";
    return static_cast<int>(result::NotRun);
  }
  char const* const trouble = std::getenv("TROUBLE");
  bool const isTroubled = trouble == nullptr || std::string{ trouble } != "0";
  try {
    record record{ aArguments[1] };
    result const seen = Run(record, isTroubled);
    record.Write("exit " + std::to_string(static_cast<int>(seen)));
    return static_cast<int>(seen);
  } catch (std::exception const& fault) {
    std::cerr << fault.what() << "\n";
    return static_cast<int>(result::NotRun);
  }
}
