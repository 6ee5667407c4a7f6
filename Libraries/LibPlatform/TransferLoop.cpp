#include <LibCore/Error.h>
#include <LibPlatform/TransferLoop.h>

namespace lycheeseam {

namespace {

/// The longest wait of the loop for activity. Start and the destructor wake it
/// earlier.
constexpr int kLongestPollMs = 60'000;

CURLM*
NewMulti()
{
  // libcurl allows repeated calls; the global state lives until the process
  // ends.
  curl_global_init(CURL_GLOBAL_DEFAULT);
  CURLM* const multi = curl_multi_init();
  if (!multi)
    throw error("curl_multi_init failed to create a multi handle");
  return multi;
}

}

transfer_loop::transfer_loop()
  : mMulti(NewMulti(), &curl_multi_cleanup)
  , mThread([this]() { Run(); })
{
}

transfer_loop::~transfer_loop()
{
  mIsEnding = true;
  curl_multi_wakeup(mMulti.get());
  mThread.join();
  for (auto const& [handle, transfer] : mOpen)
    curl_multi_remove_handle(mMulti.get(), handle);
}

void
transfer_loop::Start(http_call aCall, http_transfer::completion aDone)
{
  std::unique_ptr<http_transfer> transfer =
    std::make_unique<http_transfer>(std::move(aCall), std::move(aDone));
  {
    std::lock_guard const lock{ mMutex };
    mWaiting.push_back(std::move(transfer));
  }
  curl_multi_wakeup(mMulti.get());
}

void
transfer_loop::Run()
{
  while (!mIsEnding) {
    AddWaiting();
    int running = 0;
    curl_multi_perform(mMulti.get(), &running);
    FinishCompleted();
    curl_multi_poll(mMulti.get(), nullptr, 0, kLongestPollMs, nullptr);
  }
}

void
transfer_loop::AddWaiting()
{
  std::vector<std::unique_ptr<http_transfer>> waiting;
  {
    std::lock_guard const lock{ mMutex };
    waiting.swap(mWaiting);
  }
  for (std::unique_ptr<http_transfer>& transfer : waiting) {
    CURL* const handle = transfer->Handle();
    curl_multi_add_handle(mMulti.get(), handle);
    mOpen.emplace(handle, std::move(transfer));
  }
}

void
transfer_loop::FinishCompleted()
{
  int left = 0;
  while (CURLMsg const* const message =
           curl_multi_info_read(mMulti.get(), &left)) {
    if (message->msg != CURLMSG_DONE)
      continue;
    CURL* const handle = message->easy_handle;
    CURLcode const code = message->data.result;
    curl_multi_remove_handle(mMulti.get(), handle);
    http_transfer::Of(handle).Finish(code);
    mOpen.erase(handle);
  }
}

}
