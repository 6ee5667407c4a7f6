#pragma once

#include "CurlSession.h"
#include "HttpCallOptions.h"
#include "HttpResult.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace lycheeseam {

/// One HTTP request, transferred on its own thread, so that a scenario can act
/// before the answer is complete.
class http_call
{
public:
  /// Sends the request. Calls that share a session run one after the other.
  http_call(http_call_options aOptions, std::shared_ptr<curl_session> aSession);

  /// Drops the call if it hasn't ended.
  ~http_call();
  http_call(http_call const&) = delete;
  http_call& operator=(http_call const&) = delete;

  /// The bytes of the answer's body received so far.
  [[nodiscard]] std::string BodySoFar() const;

  /// Closes the connection before the answer is complete.
  void Drop();

  /// Waits until the call has ended and returns its result.
  http_result Wait();

private:
  static std::size_t TakeBody(char* aData,
                              std::size_t aOne,
                              std::size_t aSize,
                              void* aCall);
  static std::size_t TakeHeader(char* aData,
                                std::size_t aOne,
                                std::size_t aSize,
                                void* aCall);
  void Run();
  void Prepare(curl_slist* aHeaders);
  void Transfer();
  void ReadOutcome();

  http_call_options mOptions;
  std::shared_ptr<curl_session> mSession;
  mutable std::mutex mMutex;
  http_result mResult;
  std::atomic<bool> mDropped = false;
  std::thread mThread;
};

}
