#include <LibCore/Error.h>
#include <LibHttp/InputLimits.h>
#include <LibPlatform/HttpTransfer.h>

namespace lycheeseam {

namespace {

// A longer reply ends with a fault. A read of the log asks for far less.
constexpr std::size_t kMaxBodyBytes = 33'554'432;

}

http_transfer::http_transfer(http_call aCall, completion aDone)
  : mCall(std::move(aCall))
  , mDone(std::move(aDone))
  , mHeaders(curl_slist_append(nullptr, "Expect:"), &curl_slist_free_all)
  , mHandle(curl_easy_init(), &curl_easy_cleanup)
{
  if (!mHandle)
    throw error("curl_easy_init failed to create a transfer handle");
  CURL* const curl = mHandle.get();
  long const timeout = static_cast<long>(mCall.mTimeout.count());
  curl_easy_setopt(curl, CURLOPT_URL, mCall.mUrl.c_str());
  curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, timeout);
  curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(curl, CURLOPT_PROXY, "");
  curl_easy_setopt(curl, CURLOPT_PRIVATE, this);
  curl_easy_setopt(curl, CURLOPT_HTTPHEADER, mHeaders.get());
  curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, &http_transfer::OnBody);
  curl_easy_setopt(curl, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, &http_transfer::OnHeadLine);
  curl_easy_setopt(curl, CURLOPT_HEADERDATA, this);
  SetMethod();
}

http_transfer&
http_transfer::Of(CURL* aHandle)
{
  void* self = nullptr;
  curl_easy_getinfo(aHandle, CURLINFO_PRIVATE, &self);
  return *static_cast<http_transfer*>(self);
}

void
http_transfer::Finish(CURLcode aCode)
{
  if (aCode == CURLE_OK) {
    mReply.mEnd = transfer_end::Answered;
    curl_easy_getinfo(mHandle.get(), CURLINFO_RESPONSE_CODE, &mReply.mStatus);
  } else if (aCode == CURLE_COULDNT_CONNECT) {
    mReply.mEnd = transfer_end::NotSent;
  }
  mDone(std::move(mReply));
}

void
http_transfer::SetMethod()
{
  CURL* const curl = mHandle.get();
  if (mCall.mMethod == http_method::Get)
    return;
  if (mCall.mMethod == http_method::Delete) {
    curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, "DELETE");
    return;
  }
  long const size = static_cast<long>(mCall.mBody.size());
  curl_easy_setopt(curl, CURLOPT_POST, 1L);
  curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE, size);
  curl_easy_setopt(curl, CURLOPT_POSTFIELDS, mCall.mBody.data());
  if (mCall.mMethod == http_method::Put)
    curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, "PUT");
}

std::size_t
http_transfer::OnHeadLine(char const* /*aData*/,
                          std::size_t aSize,
                          std::size_t aCount,
                          void* aSelf)
{
  http_transfer& self = *static_cast<http_transfer*>(aSelf);
  self.mHeadBytes += aSize * aCount;
  // libcurl ends a transfer whose callback takes less than it was given.
  return self.mHeadBytes > kMaxHeadBytes ? 0 : aSize * aCount;
}

std::size_t
http_transfer::OnBody(char const* aData,
                      std::size_t aSize,
                      std::size_t aCount,
                      void* aSelf)
{
  std::size_t const bytes = aSize * aCount;
  std::string& body = static_cast<http_transfer*>(aSelf)->mReply.mBody;
  if (body.size() + bytes > kMaxBodyBytes)
    return 0;
  body.append(aData, bytes);
  return bytes;
}

}
