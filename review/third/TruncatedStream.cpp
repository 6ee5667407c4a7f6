#include "Instance.h"
#include "Worker.h"

#include <iostream>

/// \file A stream without a length that reaches an instance through a peer: the
/// peer is killed while the stream runs.

namespace review {

namespace {

constexpr char const* kService = "assist";
constexpr char const* kModel = "m1";
constexpr char const* kHost = "maps.example";
constexpr unsigned kEvents = 73;
constexpr milliseconds kEventInterval{ 40 };

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
      { { { "name", "r-1" },
          { "host", kHost },
          { "path_prefix", "/chat/" },
          { "kind", "stream" },
          { "timeout_ms", 15'000 },
          { "target_latency_ms", 500 },
          { "priority", 0 },
          { "service", kService },
          { "max_attempts", 1 },
          { "public", false },
          { "sticky", true },
          { "resumable", false },
          { "gap_aim_ms", 500 } } } },
    { "services",
      { { { "name", kService },
          { "health_path", "/health" },
          { "max_conns", 360 },
          { "protocol", "h1" },
          { "tls", false },
          { "engine",
            { { "slots", 64 },
              { "kv_tokens", 104'044 },
              { "kv_bytes", 327'680 },
              { "models", { { { "name", kModel } } } } } } } } },
    { "limits",
      { { "max_header_bytes", 16'384 },
        { "max_body_bytes", 4'194'304 },
        { "header_timeout_ms", 3'000 },
        { "idle_timeout_ms", 15'000 } } }
  }.dump();
}

struct caller_answer
{
  std::string mStatus;
  bool mIsComplete = false;
  std::string mBody;

  [[nodiscard]] std::size_t Events() const
  {
    std::size_t events = 0;
    for (std::size_t at = mBody.find("\n\n"); at != std::string::npos;
         at = mBody.find("\n\n", at + 2))
      ++events;
    return events;
  }
};

caller_answer
Call(address const& aTo, std::string const& aId)
{
  constexpr milliseconds kTimeout{ 15'000 };
  std::string const body = "{}";
  std::unique_ptr<connection> const caller = connection::Open(aTo);
  if (!caller ||
      !caller->Send("POST /chat/2f HTTP/1.1\r\nHost: " + std::string{ kHost } +
                    "\r\nRequest-Id: " + aId + "\r\nModel: " + kModel +
                    "\r\nToken-Counts: 826,73\r\nDeadline-Ms: 15000\r\n"
                    "Content-Length: " +
                    std::to_string(body.size()) + "\r\n\r\n" + body))
    throw setup_error("the instance doesn't take a request");
  message_reader reader{ *caller };
  caller_answer answer;
  std::optional<message> const head = reader.ReadHead(kTimeout);
  if (!head)
    return answer;
  answer.mStatus = head->Second();
  if (head->Field("transfer-encoding"))
    answer.mIsComplete = reader.ReadChunks(answer.mBody, kTimeout);
  return answer;
}

/// What the caller sees in the end. With aIsTroubled the three workers of the
/// caller's zone crash before the request, and the peer is killed a second
/// after it.
result
Run(record& aRecord, bool aIsTroubled)
{
  constexpr milliseconds kSettle{ 4'000 };
  constexpr milliseconds kStreamTime{ 1'000 };
  temporary_folder const folder;
  store store;
  store.Put("keyed.op", "config", Configuration());
  store.Put("keyed.op",
            std::string{ "version/" } + kModel,
            nlohmann::json{ { "model", kModel }, { "version", 1 } }.dump());
  std::vector<std::unique_ptr<worker>> near;
  for (char const* const id : { "i-1", "i-2", "i-3" })
    near.push_back(std::make_unique<worker>(
      worker::options{ id, kService, "bkk-a", kModel, kEvents, kEventInterval },
      store,
      aRecord));
  worker const far{
    { "i-4", kService, "bkk-b", kModel, kEvents, kEventInterval },
    store,
    aRecord
  };
  instance entry{
    { "front-bkk-a-1", "bkk-a", "127.0.1.1", store.Address(), folder.Path() }
  };
  instance peer{
    { "front-bkk-b-1", "bkk-b", "127.0.1.2", store.Address(), folder.Path() }
  };
  entry.AwaitReady();
  peer.AwaitReady();
  std::this_thread::sleep_for(kSettle);
  if (aIsTroubled) {
    for (std::unique_ptr<worker> const& crashed : near)
      crashed->Crash();
    aRecord.Write("workers i-1, i-2 and i-3 have crashed");
  }
  std::thread killer([&]() {
    std::this_thread::sleep_for(kStreamTime);
    if (!aIsTroubled)
      return;
    aRecord.Write("SIGKILL to " + peer.Name());
    peer.Signal(SIGKILL);
  });
  aRecord.Write("a caller sends request r-1 to " + entry.Name());
  caller_answer const answer = Call(entry.Callers(), "r-1");
  killer.join();
  aRecord.Write("the caller gets status " + answer.mStatus + ", " +
                std::to_string(answer.Events()) + " of " +
                std::to_string(kEvents) + " events, the answer is " +
                (answer.mIsComplete ? "complete" : "broken off"));
  if (answer.mStatus != "200" && !aIsTroubled)
    return result::NotRun;
  return answer.mIsComplete && answer.Events() < kEvents ? result::Broken
                                                         : result::Held;
}

}

}

int
main(int aCount, char** aArguments)
{
  using namespace review;
  if (aCount != 2) {
    std::cerr << "usage: truncated-stream RECORD\n";
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
