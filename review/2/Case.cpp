#include "../Config.h"
#include "../KeptChannels.h"

// One of four workers of a service is in trouble: in the body of a chunked
// answer it sends bytes that are no answer, without end, until the caller
// closes. The platform kills a process whose memory exceeds its limit and
// starts it again.

using namespace review;

namespace {

// limits.memory_mb of the platform's settings.
constexpr double kMemoryLimitMb = 110;
// The worker's link; an instance's link carries 1,000 Mbit/s.
constexpr double kWorkerMbitPerS = 400;
constexpr std::chrono::seconds kTrafficTime{ 20 };

class digest_worker
{
public:
  digest_worker(std::string aId, bool aIsInTrouble, record& aRecord)
    : mId(std::move(aId))
    , mIsInTrouble(aIsInTrouble)
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
    SendAll(aSocket.Get(),
            "HTTP/1.1 200 OK\r\nRequest-Id: " + aRequest.Field("Request-Id") +
              "\r\nServer-Stamp: " + mId +
              "\r\nContent-Type: text/event-stream\r\n"
              "Transfer-Encoding: chunked\r\n\r\n");
    if (mIsInTrouble)
      return SendWithoutEnd(aRequest.Field("Request-Id"), aSocket);
    return SendAll(aSocket.Get(),
                   "15\r\nid: 1\ndata: a digest\n\n\r\n0\r\n\r\n");
  }

  // Sends what stands in the place of a chunk's length.
  bool SendWithoutEnd(std::string const& aRequest, socket_handle& aSocket)
  {
    mRecord.Line(mId + " sends bytes without end to " + aRequest);
    std::string const bytes(65'536, '5');
    double sentMbit = 0;
    steady::time_point const start = steady::now();
    SendAll(aSocket.Get(), "5;");
    while (SendAll(aSocket.Get(), bytes)) {
      sentMbit += static_cast<double>(bytes.size()) * 8 / 1e6;
      std::this_thread::sleep_until(
        start + std::chrono::duration_cast<steady::duration>(
                  std::chrono::duration<double>(sentMbit / kWorkerMbitPerS)));
    }
    mRecord.Line(aRequest + ": the caller closed after " +
                 std::to_string(sentMbit / 8) + " MB");
    return false;
  }

  std::string mId;
  bool mIsInTrouble;
  record& mRecord;
  http_server mServer;
};

void
Digest(std::uint16_t aPort, std::atomic<bool> const& aIsDone)
{
  for (int sent = 0; !aIsDone; ++sent) {
    Call(aPort,
         "POST",
         "/digests/catalogue",
         { { "Host", "ledger.example" },
           { "Request-Id",
             "digest-" + std::to_string(aPort) + "-" + std::to_string(sent) },
           { "Deadline-Ms", "6000" } },
         "summarise",
         std::chrono::milliseconds{ 6'500 });
    std::this_thread::sleep_for(std::chrono::milliseconds{ 200 });
  }
}

bool
Run(deployment& aSite, record& aRecord)
{
  kept_channels& bookings = *new kept_channels{ aRecord, "/bookings/move" };
  http_server& booker =
    *new http_server{ [&bookings](http_message const& aRequest,
                                  socket_handle& aSocket) {
      std::string const id = aRequest.Field("Request-Id");
      bookings.OnRun(id);
      std::this_thread::sleep_for(std::chrono::milliseconds{ 200 });
      return SendAll(
        aSocket.Get(),
        FormatMessage("HTTP/1.1 200 OK",
                      { { "Request-Id", id }, { "Server-Stamp", "booker" } },
                      "booked"));
    } };
  aSite.AddWorker(
    { .mId = "booker", .mService = "bookings", .mAddress = booker.Address() });
  for (int index = 1; index <= 4; ++index) {
    bool const isInTrouble = HasTrouble() && index == 1;
    digest_worker& worker = *new digest_worker{
      "digest-worker-" + std::to_string(index), isInTrouble, aRecord
    };
    aSite.AddWorker(worker.Entry());
  }
  aSite.PutConfig(
    MakeConfig(1,
               { MakeRoute({ .mName = "booking",
                             .mPrefix = "/bookings/",
                             .mKind = "non_idempotent",
                             .mService = "bookings",
                             .mMaxAttempts = 1 }),
                 MakeRoute({ .mName = "digest",
                             .mPrefix = "/digests/",
                             .mKind = "stream",
                             .mService = "digests",
                             .mIsResumable = true }) },
               { MakeService("bookings"), MakeService("digests") }));

  std::vector<deployment::instance const*> const instances{
    &aSite.StartInstance(), &aSite.StartInstance()
  };
  std::atomic<bool> isDone = false;
  std::vector<std::thread> digests;
  for (deployment::instance const* const instance : instances) {
    bookings.Start(*instance, 8);
    digests.emplace_back(
      [instance, &isDone]() { Digest(instance->mCallers, isDone); });
  }

  int ends = 0;
  double most = 0;
  steady::time_point const until = steady::now() + kTrafficTime;
  while (steady::now() < until) {
    std::this_thread::sleep_for(std::chrono::milliseconds{ 20 });
    for (deployment::instance const* const instance : instances) {
      double const memory = deployment::MemoryMb(*instance);
      most = std::max(most, memory);
      if (memory <= kMemoryLimitMb)
        continue;
      ++ends;
      aRecord.Line(instance->mName + " has " + std::to_string(memory) +
                   " MB in use and is killed");
      aSite.Kill(*instance);
      std::this_thread::sleep_for(std::chrono::milliseconds{ 500 });
      aSite.Restart(instance->mName);
    }
  }
  isDone = true;
  bookings.Stop();
  for (std::thread& thread : digests)
    thread.join();
  std::size_t const lost = bookings.CountLost();
  aRecord.Line(std::to_string(bookings.CountAnswered()) +
               " bookings answered; most memory " + std::to_string(most) +
               " MB; processes over the limit: " + std::to_string(ends) +
               "; bookings passed on from a kept channel to a sound worker "
               "whose channel closed without an answer: " +
               std::to_string(lost) + " (3 allowed)");
  return lost <= 3;
}

}

int
main()
{
  return RunCase(Run);
}
