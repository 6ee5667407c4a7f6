#include "Instance.h"
#include "Worker.h"

#include <iostream>

/// \file Two answers without a length, a stream and the receipt of a booking,
/// reach an instance through a peer: the peer is killed while they run.

namespace review {

namespace {

constexpr char const* kModelService = "assist";
constexpr char const* kPlainService = "ledger";
constexpr char const* kModel = "m1";
constexpr char const* kHost = "maps.example";
constexpr unsigned kPieces = 73;
constexpr milliseconds kPieceInterval{ 40 };

enum class result : int
{
  Held = 0,
  Broken = 1,
  NotRun = 2,
};

nlohmann::json
Route(std::string const& aName,
      std::string const& aPrefix,
      std::string const& aKind,
      std::string const& aService)
{
  return { { "name", aName },
           { "host", kHost },
           { "path_prefix", aPrefix },
           { "kind", aKind },
           { "timeout_ms", 15'000 },
           { "target_latency_ms", 500 },
           { "priority", 0 },
           { "service", aService },
           { "max_attempts", 1 },
           { "public", false },
           { "sticky", aKind == "stream" },
           { "resumable", false } };
}

std::string
Configuration()
{
  nlohmann::json const engine{ { "slots", 64 },
                               { "kv_tokens", 104'044 },
                               { "kv_bytes", 327'680 },
                               { "models", { { { "name", kModel } } } } };
  return nlohmann::json{
    { "version", 1 },
    { "routes",
      { Route("r-chat", "/chat/", "stream", kModelService),
        Route("r-book", "/book/", "non_idempotent", kPlainService) } },
    { "services",
      { { { "name", kModelService },
          { "health_path", "/health" },
          { "max_conns", 360 },
          { "protocol", "h1" },
          { "tls", false },
          { "engine", engine } },
        { { "name", kPlainService },
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

struct caller_answer
{
  std::string mStatus = "none";
  bool mIsComplete = false;
  std::string mBody;

  [[nodiscard]] std::size_t Pieces() const
  {
    std::size_t pieces = 0;
    for (std::size_t at = mBody.find("\n\n"); at != std::string::npos;
         at = mBody.find("\n\n", at + 2))
      ++pieces;
    return pieces;
  }

  /// True for an answer that looks whole and isn't.
  [[nodiscard]] bool IsTruncated() const
  {
    return mStatus == "200" && mIsComplete && Pieces() < kPieces;
  }
};

caller_answer
Call(address const& aTo,
     std::string const& aTarget,
     std::string const& aId,
     std::string const& aFields)
{
  constexpr milliseconds kTimeout{ 15'000 };
  std::unique_ptr<connection> const caller = connection::Open(aTo);
  caller_answer answer;
  if (!caller ||
      !caller->Send("POST " + aTarget + " HTTP/1.1\r\nHost: " + kHost +
                    "\r\nRequest-Id: " + aId + "\r\n" + aFields +
                    "Deadline-Ms: 15000\r\nContent-Length: 2\r\n\r\n{}"))
    return answer;
  message_reader reader{ *caller };
  std::optional<message> const head = reader.ReadHead(kTimeout);
  if (!head)
    return answer;
  answer.mStatus = head->Second();
  answer.mIsComplete = head->Field("transfer-encoding")
                         ? reader.ReadChunks(answer.mBody, kTimeout)
                         : reader.ReadSized(*head, answer.mBody, kTimeout);
  return answer;
}

void
Describe(record& aRecord, std::string const& aId, caller_answer const& aAnswer)
{
  aRecord.Write("the caller of " + aId + " has status " + aAnswer.mStatus +
                ", " + std::to_string(aAnswer.Pieces()) + " of " +
                std::to_string(kPieces) + " pieces, the answer is " +
                (aAnswer.mIsComplete ? "complete" : "broken off"));
}

/// The stand-ins and the two instances of one run.
class deployment
{
public:
  explicit deployment(record& aRecord)
    : mRecord(aRecord)
    , mEntry({ "front-bkk-a-1",
               "bkk-a",
               "127.0.1.1",
               mStore.Address(),
               mFolder.Path() })
    , mPeer({ "front-bkk-b-1",
              "bkk-b",
              "127.0.1.2",
              mStore.Address(),
              mFolder.Path() })
  {
    mStore.Put("keyed.op", "config", Configuration());
    mStore.Put("keyed.op",
               std::string{ "version/" } + kModel,
               nlohmann::json{ { "model", kModel }, { "version", 1 } }.dump());
    for (char const* const id : { "i-1", "i-2", "i-3" })
      Add(id, kModelService, "bkk-a", kModel);
    Add("i-4", kModelService, "bkk-b", kModel);
    Add("i-5", kPlainService, "bkk-b", "");
    mEntry.AwaitReady();
    mPeer.AwaitReady();
  }

  [[nodiscard]] address const& Entry() const { return mEntry.Callers(); }

  /// The three workers of the entry's zone crash.
  void CrashWorkers()
  {
    for (std::size_t index = 0; index < 3; ++index)
      mWorkers[index]->Crash();
    mRecord.Write("workers i-1, i-2 and i-3 have crashed");
  }

  void KillPeer()
  {
    mRecord.Write("SIGKILL to " + mPeer.Name());
    mPeer.Signal(SIGKILL);
  }

private:
  void Add(std::string const& aId,
           std::string const& aService,
           std::string const& aZone,
           std::string const& aModel)
  {
    mWorkers.push_back(std::make_unique<worker>(
      worker::options{ aId, aService, aZone, aModel, kPieces, kPieceInterval },
      mStore,
      mRecord));
  }

  record& mRecord;
  temporary_folder mFolder;
  store mStore;
  std::vector<std::unique_ptr<worker>> mWorkers;
  instance mEntry;
  instance mPeer;
};

/// With aIsTroubled three workers crash before the requests, and the peer is
/// killed a second after them.
result
Run(record& aRecord, bool aIsTroubled)
{
  constexpr milliseconds kSettleTime{ 4'000 };
  constexpr milliseconds kBetweenRequests{ 50 };
  constexpr milliseconds kRunTime{ 1'000 };
  deployment running{ aRecord };
  std::this_thread::sleep_for(kSettleTime);
  if (aIsTroubled)
    running.CrashWorkers();
  caller_answer stream;
  caller_answer receipt;
  std::thread chat([&]() {
    stream =
      Call(running.Entry(),
           "/chat/2f",
           "r-1",
           std::string{ "Model: " } + kModel + "\r\nToken-Counts: 826,73\r\n");
  });
  std::this_thread::sleep_for(kBetweenRequests);
  std::thread booking(
    [&]() { receipt = Call(running.Entry(), "/book/2f", "r-2", {}); });
  std::this_thread::sleep_for(kRunTime);
  if (aIsTroubled)
    running.KillPeer();
  chat.join();
  booking.join();
  Describe(aRecord, "r-1", stream);
  Describe(aRecord, "r-2", receipt);
  if (!aIsTroubled && (stream.mStatus != "200" || receipt.mStatus != "200"))
    return result::NotRun;
  return stream.IsTruncated() || receipt.IsTruncated() ? result::Broken
                                                       : result::Held;
}

}

}

int
main(int aCount, char** aArguments)
{
  using namespace review;
  if (aCount != 2) {
    std::cerr << "usage: TruncatedStream RECORD\n";
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
