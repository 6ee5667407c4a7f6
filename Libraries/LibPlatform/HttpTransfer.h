#pragma once

#include <LibPlatform/HttpCall.h>
#include <LibPlatform/HttpReply.h>

#include <curl/curl.h>

#include <functional>
#include <memory>

namespace lycheeseam {

/// One HTTP call in progress. It owns the libcurl handle and the buffers that
/// the handle points to.
class http_transfer
{
public:
  using completion = std::function<void(http_reply)>;

  /// Sets up the handle; throws error when libcurl can't create one.
  http_transfer(http_call aCall, completion aDone);

  /// The handle, for libcurl's multi interface.
  [[nodiscard]] CURL* Handle() const noexcept { return mHandle.get(); }

  /// The transfer that a handle belongs to.
  static http_transfer& Of(CURL* aHandle);

  /// Passes the result of the transfer to the completion.
  void Finish(CURLcode aCode);

private:
  using handle = std::unique_ptr<CURL, decltype(&curl_easy_cleanup)>;
  using header_list =
    std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)>;

  void SetMethod();
  static std::size_t OnHeadLine(char const* aData,
                                std::size_t aSize,
                                std::size_t aCount,
                                void* aSelf);
  static std::size_t OnBody(char const* aData,
                            std::size_t aSize,
                            std::size_t aCount,
                            void* aSelf);

  http_call mCall;
  http_reply mReply;
  /// The bytes of all heads so far.
  std::size_t mHeadBytes = 0;
  completion mDone;
  /// Removes the Expect header that libcurl would add to large bodies.
  header_list mHeaders;
  handle mHandle;
};

}
