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

/// One request on its way, on a thread of its own, so that a scenario can act
/// between its first byte and its last.
class http_call
{
public:
  /// Sends; a session that several calls share carries them one by one.
  http_call(http_call_options aOptions, std::shared_ptr<curl_session> aSession);

  /// Drops the call if it is still on its way.
  ~http_call();
  http_call(http_call const&) = delete;
  http_call& operator=(http_call const&) = delete;

  /// The answer's bytes so far.
  [[nodiscard]] std::string BodySoFar() const;

  /// Closes the connection in the midst of the answer.
  void Drop();

  /// Waits for the end.
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
