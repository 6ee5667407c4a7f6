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

/// Runs HTTP calls on one thread of its own. Calls still open when it ends
/// are dropped without an answer.
class transfer_loop
{
public:
  transfer_loop();
  ~transfer_loop();
  transfer_loop(transfer_loop const&) = delete;
  transfer_loop& operator=(transfer_loop const&) = delete;

  /// Starts a call; safe from any thread. The completion runs on the loop's
  /// thread and must not block it.
  void Start(http_call aCall, http_transfer::completion aDone);

private:
  using multi = std::unique_ptr<CURLM, decltype(&curl_multi_cleanup)>;

  void Run();
  void AddWaiting();
  void FinishDone();

  multi mMulti;
  std::mutex mMutex;
  std::vector<std::unique_ptr<http_transfer>> mWaiting;
  // Only the loop's thread touches the open transfers.
  std::map<CURL*, std::unique_ptr<http_transfer>> mOpen;
  std::atomic<bool> mIsEnding{ false };
  std::thread mThread;
};

}
