#include "HttpCall.h"

#include <utility>

namespace lycheeseam {

namespace {

/// The longest wait between two checks of a transfer; a wake-up ends it early.
constexpr int kPollMilliseconds = 1000;

struct list_cleanup
{
  void operator()(curl_slist* aList) const { curl_slist_free_all(aList); }
};

using header_list = std::unique_ptr<curl_slist, list_cleanup>;

header_list
HeaderList(http_call_options const& aOptions)
{
  // No "Expect: 100-continue": libcurl waits 1 s for a server that doesn't
  // answer it.
  header_list list{ curl_slist_append(nullptr, "Expect:") };
  for (std::string const& header : aOptions.mHeaders)
    list.reset(curl_slist_append(list.release(), header.c_str()));
  return list;
}

}

http_call::http_call(http_call_options aOptions,
                     std::shared_ptr<curl_session> aSession)
  : mOptions(std::move(aOptions))
  , mSession(std::move(aSession))
  , mThread([this]() { Run(); })
{
}

http_call::~http_call()
{
  Drop();
  if (mThread.joinable())
    mThread.join();
}

std::string
http_call::BodySoFar() const
{
  std::lock_guard const lock{ mMutex };
  return mResult.mBody;
}

void
http_call::Drop()
{
  mDropped = true;
  curl_multi_wakeup(mSession->Multi());
}

http_result
http_call::Wait()
{
  if (mThread.joinable())
    mThread.join();
  return mResult;
}

std::size_t
http_call::TakeBody(char* aData,
                    std::size_t aOne,
                    std::size_t aSize,
                    void* aCall)
{
  http_call& call = *static_cast<http_call*>(aCall);
  std::lock_guard const lock{ call.mMutex };
  call.mResult.mBody.append(aData, aOne * aSize);
  return aOne * aSize;
}

std::size_t
http_call::TakeHeader(char* aData,
                      std::size_t aOne,
                      std::size_t aSize,
                      void* aCall)
{
  http_call& call = *static_cast<http_call*>(aCall);
  call.mResult.mHeaders.append(aData, aOne * aSize);
  return aOne * aSize;
}

void
http_call::Run()
{
  header_list const headers = HeaderList(mOptions);
  Prepare(headers.get());
  curl_multi_add_handle(mSession->Multi(), mSession->Easy());
  Transfer();
  ReadOutcome();
  curl_multi_remove_handle(mSession->Multi(), mSession->Easy());
}

void
http_call::Prepare(curl_slist* aHeaders)
{
  CURL* const easy = mSession->Easy();
  curl_easy_reset(easy);
  curl_easy_setopt(easy, CURLOPT_URL, mOptions.mUrl.c_str());
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, aHeaders);
  curl_easy_setopt(
    easy, CURLOPT_TIMEOUT_MS, static_cast<long>(mOptions.mTimeout.count()));
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &http_call::TakeBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &http_call::TakeHeader);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, this);
  if (!mOptions.mBody.empty()) {
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, mOptions.mBody.data());
    curl_easy_setopt(easy,
                     CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(mOptions.mBody.size()));
  }
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, mOptions.mMethod.c_str());
}

void
http_call::Transfer()
{
  int running = 1;
  while (!mDropped) {
    curl_multi_perform(mSession->Multi(), &running);
    if (running == 0)
      return;
    curl_multi_poll(mSession->Multi(), nullptr, 0, kPollMilliseconds, nullptr);
  }
}

void
http_call::ReadOutcome()
{
  CURL* const easy = mSession->Easy();
  int remaining = 0;
  CURLMsg* const message = curl_multi_info_read(mSession->Multi(), &remaining);
  if (message == nullptr)
    mResult.mError = "dropped";
  else if (message->data.result != CURLE_OK)
    mResult.mError = curl_easy_strerror(message->data.result);
  curl_off_t microseconds = 0;
  curl_easy_getinfo(easy, CURLINFO_TOTAL_TIME_T, &microseconds);
  mResult.mDuration = std::chrono::duration_cast<std::chrono::milliseconds>(
    std::chrono::microseconds{ microseconds });
  curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &mResult.mStatus);
  curl_easy_getinfo(easy, CURLINFO_NUM_CONNECTS, &mResult.mNewConnections);
}

}
