#pragma once

#include "Message.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <thread>

namespace review {

/// An HTTP server with a thread for each connection. Handler receives each
/// request and the connection to answer on, and returns false to close it.
class server
{
public:
  using handler = std::function<bool(message const&, connection&)>;

  server(std::string const& aHost, handler aHandler)
    : mListener(aHost)
    , mHandler(std::move(aHandler))
    , mAcceptor([this]() { Accept(); })
  {
  }
  server(server const&) = delete;
  server& operator=(server const&) = delete;
  ~server() { Stop(); }

  [[nodiscard]] address const& Address() const noexcept
  {
    return mListener.Address();
  }

  /// Closes all connections and refuses new ones, as when the process ends.
  void Stop()
  {
    if (mIsStopping.exchange(true))
      return;
    mListener.Close();
    mAcceptor.join();
    std::vector<std::thread> threads;
    {
      std::lock_guard const lock{ mMutex };
      for (std::weak_ptr<connection> const& open : mConnections) {
        if (std::shared_ptr<connection> const current = open.lock())
          current->Shutdown();
      }
      threads.swap(mThreads);
    }
    for (std::thread& thread : threads)
      thread.join();
  }

private:
  void Accept()
  {
    while (std::unique_ptr<connection> accepted = mListener.Accept()) {
      std::shared_ptr<connection> const shared = std::move(accepted);
      std::lock_guard const lock{ mMutex };
      mConnections.push_back(shared);
      mThreads.emplace_back([this, shared]() { Serve(shared); });
    }
  }

  void Serve(std::shared_ptr<connection> const& aConnection)
  {
    constexpr milliseconds kIdleTime{ 60'000 };
    message_reader reader{ *aConnection };
    while (!mIsStopping) {
      std::optional<message> const request = reader.Read(kIdleTime);
      if (!request || !mHandler(*request, *aConnection))
        break;
    }
    aConnection->Shutdown();
  }

  listener mListener;
  handler mHandler;
  std::atomic<bool> mIsStopping = false;
  std::mutex mMutex;
  std::vector<std::weak_ptr<connection>> mConnections;
  std::vector<std::thread> mThreads;
  std::thread mAcceptor;
};

}
