#pragma once

#include <LibPlatform/HttpTransfer.h>

#include <curl/curl.h>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace lycheeseam {

/// Runs HTTP calls on a thread of its own; any thread may start a call. The
/// destructor drops calls that are still open without running their
/// completions.
class transfer_loop
{
public:
  /// Starts the thread; throws error when libcurl can't create a multi handle.
  transfer_loop();
  ~transfer_loop();
  transfer_loop(transfer_loop const&) = delete;
  transfer_loop& operator=(transfer_loop const&) = delete;

  /// Starts a call; safe from any thread. The completion runs on the loop's
  /// thread and must not block it. Throws error when libcurl can't create a
  /// handle.
  void Start(http_call aCall, http_transfer::completion aDone);

private:
  using multi = std::unique_ptr<CURLM, decltype(&curl_multi_cleanup)>;

  void Run();
  void AddWaiting();
  void FinishCompleted();

  multi mMulti;
  std::mutex mMutex;
  std::vector<std::unique_ptr<http_transfer>> mWaiting;
  // Used by the loop's thread only, and by the destructor after it has joined.
  std::map<CURL*, std::unique_ptr<http_transfer>> mOpen;
  std::atomic<bool> mIsEnding{ false };
  std::thread mThread;
};

}
