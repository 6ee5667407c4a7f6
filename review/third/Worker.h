#pragma once

#include "Record.h"
#include "Server.h"
#include "Store.h"

namespace review {

/// A worker that answers each request with a stream of events that has neither
/// a length nor chunks and ends with its channel. It registers itself in the
/// store and keeps its entry alive until it crashes or stops.
class worker
{
public:
  struct options
  {
    std::string mId;
    std::string mService;
    std::string mZone;
    /// Empty for a worker of a plain service, which answers with a document.
    std::string mModel;
    /// The pieces of an answer, each of which is an event of a stream.
    unsigned mPieces = 0;
    milliseconds mPieceInterval{};
  };

  worker(options aOptions, store& aStore, record& aRecord)
    : mOptions(std::move(aOptions))
    , mStore(aStore)
    , mRecord(aRecord)
    , mServer("127.0.0.1",
              [this](message const& aRequest, connection& aTo) {
                return Handle(aRequest, aTo);
              })
    , mHeartbeats([this]() { Register(); })
  {
  }
  worker(worker const&) = delete;
  worker& operator=(worker const&) = delete;
  ~worker() { Crash(); }

  /// Ends at once, without a word to the store.
  void Crash()
  {
    if (mIsCrashed.exchange(true))
      return;
    if (mHeartbeats.joinable())
      mHeartbeats.join();
    mServer.Stop();
  }

  /// Its entry is removed; it continues to serve.
  void Unregister()
  {
    if (mIsUnregistered.exchange(true))
      return;
    mHeartbeats.join();
    mStore.Put("keyed.servers", mOptions.mId, "");
  }

  /// Requests that it has begun to run.
  [[nodiscard]] unsigned Runs() const noexcept { return mRuns; }

  [[nodiscard]] std::string const& Id() const noexcept { return mOptions.mId; }

  /// The bytes of a piece, which end with "\n\n" in both kinds of answer.
  [[nodiscard]] std::string Piece(unsigned aNumber) const
  {
    std::string const number = std::to_string(aNumber);
    return mOptions.mModel.empty()
             ? "line " + number + " of the receipt\n\n"
             : "id: " + number + "\ndata: token" + number + "\n\n";
  }

private:
  void Register()
  {
    constexpr milliseconds kInterval{ 1'200 };
    constexpr milliseconds kStep{ 20 };
    std::int64_t const born =
      std::chrono::duration_cast<milliseconds>(
        std::chrono::system_clock::now().time_since_epoch())
        .count();
    steady::time_point next = steady::now();
    for (unsigned entries = 1; !mIsCrashed && !mIsUnregistered;) {
      if (steady::now() >= next) {
        nlohmann::json const entry{ { "service", mOptions.mService },
                                    { "addr", mServer.Address().Text() },
                                    { "zone", mOptions.mZone },
                                    { "version", "v1" },
                                    { "slots", 64 },
                                    { "state", "ready" },
                                    { "cold_left_ms", 0 },
                                    { "stage", "unified" },
                                    { "models", Models() },
                                    { "seq", entries++ },
                                    { "born", born } };
        mStore.Put("keyed.servers", mOptions.mId, entry.dump());
        next += kInterval;
      }
      std::this_thread::sleep_for(kStep);
    }
  }

  [[nodiscard]] std::string TypeFields() const
  {
    return mOptions.mModel.empty()
             ? "Content-Type: text/plain\r\n"
             : "Content-Type: text/event-stream\r\nWeight-Versions: 1\r\n";
  }

  [[nodiscard]] nlohmann::json Models() const
  {
    nlohmann::json models = nlohmann::json::array();
    if (!mOptions.mModel.empty())
      models.push_back({ { "name", mOptions.mModel },
                         { "version", 1 },
                         { "adapters", nlohmann::json::array() } });
    return models;
  }

  bool Handle(message const& aRequest, connection& aTo)
  {
    std::string const stamp = "Server-Stamp: " + mOptions.mId + ".1\r\n";
    std::string const id =
      "Request-Id: " + aRequest.Field("request-id").value_or("") + "\r\n";
    if (aRequest.Field("expect-instance").value_or(mOptions.mId) !=
        mOptions.mId)
      return aTo.Send(
        Answer("421 Misdirected Request",
               id + "Not-Run: 1\r\nInstance-Id: " + mOptions.mId + "\r\n",
               {}));
    std::string const target = aRequest.Second();
    if (target == "/health" || target.starts_with("/api/"))
      return aTo.Send(
        Answer("200 OK", "Instance-Id: " + mOptions.mId + "\r\n", {}));
    ++mRuns;
    mRecord.Write(mOptions.mId + " runs request " +
                  aRequest.Field("request-id").value_or(""));
    if (!aTo.Send("HTTP/1.1 200 OK\r\n" + id + stamp + TypeFields() +
                  "Connection: close\r\n\r\n"))
      return false;
    for (unsigned number = 1; number <= mOptions.mPieces; ++number) {
      std::this_thread::sleep_for(mOptions.mPieceInterval);
      if (!aTo.Send(Piece(number))) {
        mRecord.Write(mOptions.mId + " finds its channel closed at piece " +
                      std::to_string(number) + " of " +
                      std::to_string(mOptions.mPieces));
        return false;
      }
    }
    mRecord.Write(mOptions.mId + " has written all " +
                  std::to_string(mOptions.mPieces) +
                  " pieces and closes the channel");
    return false;
  }

  options mOptions;
  store& mStore;
  record& mRecord;
  std::atomic<bool> mIsCrashed = false;
  std::atomic<bool> mIsUnregistered = false;
  std::atomic<unsigned> mRuns = 0;
  server mServer;
  std::thread mHeartbeats;
};

}
