#include "../Config.h"
#include "../KeptChannels.h"

// Four workers of one service answer lookups with an empty chunked body. Two of
// them break off one in fifty of these answers: the last line of the body comes
// in two pieces, and its end doesn't come.

using namespace review;

namespace {

constexpr int kSpoiledOneIn = 50;
constexpr std::chrono::seconds kTrafficTime{ 20 };

class lookup_worker
{
public:
  lookup_worker(std::string aId, bool aIsFaulty, record& aRecord)
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
    return { .mId = mId, .mService = "lookups", .mAddress = mServer.Address() };
  }

private:
  bool Answer(http_message const& aRequest, socket_handle& aSocket)
  {
    std::string const head =
      "HTTP/1.1 200 OK\r\nRequest-Id: " + aRequest.Field("Request-Id") +
      "\r\nServer-Stamp: " + mId + "\r\nTransfer-Encoding: chunked\r\n\r\n";
    if (!mIsFaulty || ++mAnswers % kSpoiledOneIn != 0)
      return SendAll(aSocket.Get(), head + "0\r\n\r\n");
    mRecord.Line(mId + " breaks off its answer to " +
                 aRequest.Field("Request-Id"));
    SendAll(aSocket.Get(), head + "0\r\n");
    std::this_thread::sleep_for(std::chrono::milliseconds{ 30 });
    SendAll(aSocket.Get(), "\r");
    std::this_thread::sleep_for(std::chrono::milliseconds{ 30 });
    return false;
  }

  std::string mId;
  bool mIsFaulty;
  record& mRecord;
  std::atomic<int> mAnswers = 0;
  http_server mServer;
};

void
LookUp(std::uint16_t aPort, int aConsumer, std::atomic<bool> const& aIsDone)
{
  for (int sent = 0; !aIsDone; ++sent) {
    Call(aPort,
         "GET",
         "/lookups/sheet",
         { { "Host", "ledger.example" },
           { "Request-Id",
             "lookup-" + std::to_string(aPort) + "-" +
               std::to_string(aConsumer) + "-" + std::to_string(sent) },
           { "Deadline-Ms", "600" } },
         {},
         std::chrono::milliseconds{ 700 });
    std::this_thread::sleep_for(std::chrono::milliseconds{ 80 });
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
    bool const isFaulty = HasTrouble() && index <= 2;
    lookup_worker& worker = *new lookup_worker{
      "lookup-worker-" + std::to_string(index), isFaulty, aRecord
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
                 MakeRoute({ .mName = "lookup",
                             .mPrefix = "/lookups/",
                             .mKind = "idempotent",
                             .mService = "lookups",
                             .mTimeoutMs = 600 }) },
               { MakeService("bookings"), MakeService("lookups") }));

  std::vector<deployment::instance const*> const instances{
    &aSite.StartInstance(), &aSite.StartInstance()
  };
  std::atomic<bool> isDone = false;
  std::vector<std::thread> lookups;
  for (deployment::instance const* const instance : instances) {
    bookings.Start(*instance, 8);
    for (int consumer = 0; consumer < 4; ++consumer)
      lookups.emplace_back([instance, consumer, &isDone]() {
        LookUp(instance->mCallers, consumer, isDone);
      });
  }

  // As the platform does, starts a process again that has ended by itself.
  int ends = 0;
  steady::time_point const until = steady::now() + kTrafficTime;
  while (steady::now() < until) {
    std::this_thread::sleep_for(std::chrono::milliseconds{ 100 });
    for (deployment::instance const* const instance : instances) {
      if (aSite.IsRunning(*instance))
        continue;
      ++ends;
      aRecord.Line("its last output: " + aSite.LastLine(*instance));
      std::this_thread::sleep_for(std::chrono::milliseconds{ 500 });
      aSite.Restart(instance->mName);
    }
  }
  isDone = true;
  bookings.Stop();
  for (std::thread& thread : lookups)
    thread.join();
  std::size_t const lost = bookings.CountLost();
  aRecord.Line(std::to_string(bookings.CountAnswered()) +
               " bookings answered; processes ended by themselves: " +
               std::to_string(ends) +
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
