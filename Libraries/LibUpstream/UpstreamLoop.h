#pragma once

#include <LibCore/Mailbox.h>
#include <LibCore/SystemClock.h>
#include <LibUpstream/Transfer.h>
#include <LibUpstream/UpstreamCommand.h>
#include <LibUpstream/UpstreamSink.h>

#include <curl/curl.h>

#include <algorithm>
#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <thread>
#include <unordered_map>
#include <vector>

namespace lycheeseam {

/// Runs attempts at backend servers on a thread of its own, with one libcurl
/// multi handle. In each iteration of its loop it forwards the bytes received
/// by a transfer as one piece.
template<typename Sink>
class upstream_loop
{
public:
  /// The sink outlives the loop.
  explicit upstream_loop(Sink& aSink)
    : mSink(aSink)
    , mMulti(curl_multi_init())
    , mCommands(multi_wake{ mMulti })
    , mThread([this]() { Run(); })
  {
    // Checked here, since the sink's class has a member of this type and is
    // incomplete before.
    static_assert(upstream_sink<Sink>);
  }

  upstream_loop(upstream_loop const&) = delete;
  upstream_loop& operator=(upstream_loop const&) = delete;

  /// Joins the thread, then ends all attempts without calling the sink.
  ~upstream_loop()
  {
    mStopping = true;
    curl_multi_wakeup(mMulti);
    mThread.join();
    for (auto const& [call, running] : mTransfers)
      curl_multi_remove_handle(mMulti, running->Handle());
    mTransfers.clear();
    curl_multi_cleanup(mMulti);
  }

  /// Posts a command to the loop; safe from any thread.
  void Post(upstream_command aCommand) { mCommands.Post(std::move(aCommand)); }

private:
  struct multi_wake
  {
    CURLM* mMulti;
    void operator()() const { curl_multi_wakeup(mMulti); }
  };

  using transfer_map =
    std::unordered_map<call_number, std::unique_ptr<transfer>>;

  void Run()
  {
    while (!mStopping) {
      int running = 0;
      curl_multi_perform(mMulti, &running);
      ForwardPieces();
      FinishTransfers();
      EndOverdue();
      curl_multi_poll(mMulti, nullptr, 0, PollTimeout(), nullptr);
      for (upstream_command& command : mCommands.Drain())
        std::visit([this](auto& aCommand) { Handle(aCommand); }, command);
    }
  }

  void Handle(upstream_request& aRequest)
  {
    call_number const call = aRequest.mCall;
    std::unique_ptr<transfer> started =
      std::make_unique<transfer>(std::move(aRequest), mClock.Now(), mReceived);
    curl_multi_add_handle(mMulti, started->Handle());
    mDeadlines.emplace(started->FirstByteDeadline(), call);
    mTransfers.insert_or_assign(call, std::move(started));
  }

  void Handle(cancel_transfer& aCancel)
  {
    auto const found = mTransfers.find(aCancel.mCall);
    if (found != mTransfers.end())
      End(found, CURLE_OK, transfer_failure::Cancelled);
  }

  void Handle(set_transfer_flow& aChange)
  {
    auto const found = mTransfers.find(aChange.mCall);
    if (found != mTransfers.end())
      found->second->SetFlow(aChange.mFlow);
  }

  void ForwardPieces()
  {
    for (transfer* const received : mReceived)
      Forward(*received);
    mReceived.clear();
  }

  void Forward(transfer& aTransfer)
  {
    std::optional<upstream_head> head = aTransfer.TakeHead();
    if (head)
      mSink.OnHead(std::move(*head));
    std::optional<upstream_piece> piece = aTransfer.TakePiece();
    if (piece)
      mSink.OnPiece(std::move(*piece));
  }

  void FinishTransfers()
  {
    int remaining = 0;
    while (CURLMsg const* const message =
             curl_multi_info_read(mMulti, &remaining)) {
      if (message->msg != CURLMSG_DONE)
        continue;
      transfer* finished = nullptr;
      curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &finished);
      CURLcode const result = message->data.result;
      End(mTransfers.find(finished->Call()), result, transfer_failure::None);
    }
  }

  // Ends transfers whose first byte is overdue. A transfer that has its first
  // byte, or has ended, keeps its entry in mDeadlines until the deadline, so
  // that no entry is searched for. The call may then run a later attempt, whose
  // own deadline is checked.
  void EndOverdue()
  {
    instant const now = mClock.Now();
    while (!mDeadlines.empty() && mDeadlines.begin()->first <= now) {
      auto const found = mTransfers.find(mDeadlines.begin()->second);
      mDeadlines.erase(mDeadlines.begin());
      if (found == mTransfers.end())
        continue;
      transfer const& overdue = *found->second;
      if (overdue.IsWaiting() && overdue.FirstByteDeadline() <= now)
        End(found, CURLE_OK, transfer_failure::FirstByteTimeout);
    }
  }

  void End(typename transfer_map::iterator aEntry,
           CURLcode aResult,
           transfer_failure aFailure)
  {
    std::unique_ptr<transfer> const ended = std::move(aEntry->second);
    mTransfers.erase(aEntry);
    Forward(*ended);
    std::erase(mReceived, ended.get());
    curl_multi_remove_handle(mMulti, ended->Handle());
    mSink.OnEnd(ended->Finish(aResult, aFailure, mClock.Now()));
  }

  // In milliseconds, up to the earliest first-byte deadline.
  int PollTimeout()
  {
    static constexpr std::chrono::milliseconds kMaxWait{ 60'000 };
    if (mDeadlines.empty())
      return static_cast<int>(kMaxWait.count());
    std::chrono::milliseconds const wait =
      std::chrono::ceil<std::chrono::milliseconds>(mDeadlines.begin()->first -
                                                   mClock.Now());
    std::chrono::milliseconds const bounded =
      std::clamp(wait, std::chrono::milliseconds{ 0 }, kMaxWait);
    return static_cast<int>(bounded.count());
  }

  Sink& mSink;
  system_clock mClock;
  CURLM* mMulti;
  transfer_map mTransfers;
  std::vector<transfer*> mReceived;
  std::multimap<instant, call_number> mDeadlines;
  std::atomic<bool> mStopping = false;
  mailbox<upstream_command, multi_wake> mCommands;
  std::thread mThread;
};

}
