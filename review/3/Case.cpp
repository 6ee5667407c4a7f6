#include "../Config.h"
#include "../Deployment.h"

// Two workers answer streams of events in chunks. One of them ends one in forty
// of its streams in the middle of an event: its last chunk follows at once.

using namespace review;

namespace {

constexpr int kEvents = 6;
constexpr int kBrokenOneIn = 40;
constexpr int kConsumers = 4;
constexpr int kStreamsEach = 100;

std::string
Event(int aNumber)
{
  return "id: " + std::to_string(aNumber) + "\ndata: line " +
         std::to_string(aNumber) + " of the digest\n\n";
}

std::string
Chunk(std::string const& aBytes)
{
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", aBytes.size());
  return size + aBytes + "\r\n";
}

class digest_worker
{
public:
  digest_worker(std::string aId, bool aIsFaulty, record& aRecord)
    : mId(std::move(aId))
    , mIsFaulty(aIsFaulty)
    , mRecord(aRecord)
    , mServer([this](http_message const& aRequest, socket_handle& aSocket) {
      return Answer(aRequest, aSocket);
    })
  {
  }

  [[nodiscard]] worker_entry Entry() const
  {
    return { .mId = mId, .mService = "digests", .mAddress = mServer.Address() };
  }

private:
  bool Answer(http_message const& aRequest, socket_handle& aSocket)
  {
    std::string const id = aRequest.Field("Request-Id");
    std::string const last = aRequest.Field("Last-Event-Id");
    int const first = last.empty() ? 1 : std::atoi(last.c_str()) + 1;
    bool const isBroken = mIsFaulty && ++mAnswers % kBrokenOneIn == 0;
    mRecord.Line(mId + " runs " + id + " from event " + std::to_string(first));
    SendAll(aSocket.Get(),
            "HTTP/1.1 200 OK\r\nRequest-Id: " + id +
              "\r\nServer-Stamp: " + mId +
              "\r\nContent-Type: text/event-stream\r\n"
              "Transfer-Encoding: chunked\r\n\r\n");
    for (int number = first; number <= kEvents; ++number) {
      std::this_thread::sleep_for(std::chrono::milliseconds{ 5 });
      if (isBroken && number == 4) {
        mRecord.Line(mId + " ends " + id + " within event 4");
        return SendAll(aSocket.Get(),
                       Chunk(Event(number).substr(0, 14)) + "0\r\n\r\n");
      }
      if (!SendAll(aSocket.Get(), Chunk(Event(number))))
        return false;
    }
    return SendAll(aSocket.Get(), "0\r\n\r\n");
  }

  std::string mId;
  bool mIsFaulty;
  record& mRecord;
  std::atomic<int> mAnswers = 0;
  http_server mServer;
};

struct stream_counts
{
  std::atomic<int> mWhole = 0;
  std::atomic<int> mFailed = 0;
  /// Ended as complete before the last event.
  std::atomic<int> mCut = 0;
};

void
Digest(std::uint16_t aPort,
       int aConsumer,
       record& aRecord,
       stream_counts& aCounts)
{
  std::string whole;
  for (int number = 1; number <= kEvents; ++number)
    whole += Event(number);
  for (int sent = 0; sent < kStreamsEach; ++sent) {
    std::string const id =
      "digest-" + std::to_string(aConsumer) + "-" + std::to_string(sent);
    call_result const result = Call(aPort,
                                    "POST",
                                    "/digests/catalogue",
                                    { { "Host", "ledger.example" },
                                      { "Request-Id", id },
                                      { "Deadline-Ms", "6000" } },
                                    "summarise",
                                    std::chrono::milliseconds{ 6'500 });
    bool const isSuccess = result.mAnswer && result.mAnswer->mIsComplete &&
                           result.mAnswer->Status() == 200;
    if (!isSuccess) {
      ++aCounts.mFailed;
      continue;
    }
    if (result.mAnswer->mBody == whole) {
      ++aCounts.mWhole;
      continue;
    }
    ++aCounts.mCut;
    aRecord.Line(id + ": a complete 200 with the body " +
                 nlohmann::json(result.mAnswer->mBody).dump());
  }
}

bool
Run(deployment& aSite, record& aRecord)
{
  for (int index = 1; index <= 2; ++index) {
    digest_worker& worker =
      *new digest_worker{ "digest-worker-" + std::to_string(index),
                          HasTrouble() && index == 1,
                          aRecord };
    aSite.AddWorker(worker.Entry());
  }
  aSite.PutConfig(MakeConfig(1,
                             { MakeRoute({ .mName = "digest",
                                           .mPrefix = "/digests/",
                                           .mKind = "stream",
                                           .mService = "digests",
                                           .mIsResumable = true }) },
                             { MakeService("digests") }));
  std::vector<deployment::instance const*> const instances{
    &aSite.StartInstance(), &aSite.StartInstance()
  };
  stream_counts counts;
  std::vector<std::thread> consumers;
  for (int consumer = 0; consumer < kConsumers; ++consumer)
    consumers.emplace_back([&, consumer]() {
      Digest(instances[consumer % 2]->mCallers, consumer, aRecord, counts);
    });
  for (std::thread& thread : consumers)
    thread.join();
  aRecord.Line("streams that came whole: " + std::to_string(counts.mWhole) +
               ", failed or broken off: " + std::to_string(counts.mFailed) +
               ", ended as complete before the last event: " +
               std::to_string(counts.mCut));
  if (counts.mWhole == 0)
    throw std::runtime_error("no stream was served");
  return counts.mCut == 0;
}

}

int
main()
{
  return RunCase(Run);
}
