#pragma once

#include "Deployment.h"

#include <set>

namespace review {

/// Consumers that book over channels that they keep open, one booking after
/// the other, and what became of the bookings.
class kept_channels
{
public:
  kept_channels(record& aRecord, std::string aPath)
    : mRecord(aRecord)
    , mPath(std::move(aPath))
  {
  }

  /// Starts consumers of an instance.
  void Start(deployment::instance const& aInstance, int aConsumers)
  {
    for (int index = 0; index < aConsumers; ++index)
      mThreads.emplace_back([this, port = aInstance.mCallers]() {
        while (!mIsDone)
          Book(port);
      });
  }

  void Stop()
  {
    mIsDone = true;
    for (std::thread& thread : mThreads)
      thread.join();
  }

  /// A sound worker runs a booking.
  void OnRun(std::string const& aRequest)
  {
    std::lock_guard const lock{ mMutex };
    mRun.insert(aRequest);
  }

  /// Bookings that a sound worker got over a kept channel that then closed
  /// without an answer.
  [[nodiscard]] std::size_t CountLost()
  {
    std::lock_guard const lock{ mMutex };
    std::size_t lost = 0;
    for (std::string const& request : mClosed)
      lost += mRun.count(request);
    return lost;
  }

  [[nodiscard]] std::size_t CountAnswered()
  {
    std::lock_guard const lock{ mMutex };
    return mAnswered;
  }

private:
  // Opens a channel and books over it until it closes.
  void Book(std::uint16_t aPort)
  {
    socket_handle const socket = Connect(aPort);
    if (socket.Get() < 0) {
      std::this_thread::sleep_for(std::chrono::milliseconds{ 100 });
      return;
    }
    http_reader reader{ socket.Get() };
    for (int sent = 0; !mIsDone; ++sent) {
      std::string const id = "booking-" + std::to_string(mNext++);
      SendAll(socket.Get(),
              FormatMessage("POST " + mPath + " HTTP/1.1",
                            { { "Host", "ledger.example" },
                              { "Request-Id", id },
                              { "Deadline-Ms", "6000" } },
                            "move 3 sheets"));
      std::optional<http_message> const answer =
        reader.Read(true, steady::now() + std::chrono::seconds{ 7 });
      if (!answer || !answer->mIsComplete)
        return OnClosed(id, sent > 0);
      OnAnswer(id, answer->Status());
      if (Lower(answer->Field("Connection")) == "close")
        return;
    }
  }

  void OnAnswer(std::string const& aId, int aStatus)
  {
    if (aStatus != 200)
      mRecord.Line(aId + " answered " + std::to_string(aStatus));
    std::lock_guard const lock{ mMutex };
    ++mAnswered;
  }

  void OnClosed(std::string const& aId, bool aIsKept)
  {
    std::lock_guard const lock{ mMutex };
    bool const hasRun = mRun.contains(aId);
    mRecord.Line(aId + (aIsKept ? " on a kept channel" : " on a new channel") +
                 ": the channel closed without an answer" +
                 (hasRun ? "; a sound worker had begun to run it" : ""));
    if (aIsKept)
      mClosed.insert(aId);
  }

  record& mRecord;
  std::string mPath;
  std::vector<std::thread> mThreads;
  std::atomic<bool> mIsDone = false;
  std::atomic<int> mNext = 1;
  std::mutex mMutex;
  std::set<std::string> mRun;
  std::set<std::string> mClosed;
  std::size_t mAnswered = 0;
};

}
