#pragma once

#include <LibCore/Mailbox.h>
#include <LibFront/CallSink.h>
#include <LibFront/CallerAnswer.h>
#include <LibFront/DecodeCall.h>
#include <LibFront/FrontMessage.h>
#include <LibFront/FrontOptions.h>
#include <LibFront/WorkerWake.h>

#include <pistache/peer.h>

#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>

namespace lycheeseam {

/// The state of one Pistache worker thread: its callers' connections and their
/// open calls. All functions but Post run on that thread.
template<typename Sink>
class front_worker
{
public:
  /// The bits of a call's number from this one on are the index of its worker;
  /// the lower bits count that worker's calls.
  static constexpr unsigned kIndexShift = 48;

  front_worker(Sink& aSink, front_options const& aOptions, std::size_t aIndex)
    : mSink(aSink)
    , mOptions(aOptions)
    , mNextCall((static_cast<std::uint64_t>(aIndex) << kIndexShift) + 1)
    , mMessages(wake_worker{ &mWake })
  {
  }

  /// Posts a message to the worker; safe from any thread.
  void Post(front_message aMessage) { mMessages.Post(std::move(aMessage)); }

  /// Handles a caller's request: refuses or answers it at once, or passes it to
  /// the sink and writes the answer when messages bring it.
  void OnRequest(Pistache::Http::Request const& aRequest,
                 Pistache::Http::ResponseWriter aWriter,
                 Pistache::Tcp::Transport& aTransport)
  {
    StartOnce(aTransport);
    call_number const number = mNextCall;
    mNextCall = mNextCall.Next();
    request_id id{ mOptions.mRequestIdPrefix + std::to_string(number.Value()) };
    std::shared_ptr<Pistache::Tcp::Peer> const peer = aWriter.getPeer();
    std::shared_ptr<caller_answer> answer =
      std::make_shared<caller_answer>(std::move(aWriter), aTransport, id);
    if (!peer || AnswerDirectly(aRequest, *answer))
      return;
    decoded_call decoded = DecodeCall(aRequest, number, id);
    if (refusal const* const refused = std::get_if<refusal>(&decoded)) {
      answer->SendRefusal(*refused);
      return;
    }
    answer->SetDrainedCallback([this, number]() { UpdatePace(number); });
    mCalls.emplace(
      number,
      open_call{ .mPeer = peer->getID(), .mAnswer = std::move(answer) });
    Begin(peer->getID(), std::get<caller_request>(std::move(decoded)));
  }

  /// Ends the calls of a connection that was closed.
  void OnDisconnection(std::size_t aPeer)
  {
    auto const found = mConnections.find(aPeer);
    if (found == mConnections.end())
      return;
    connection const closed = std::move(found->second);
    mConnections.erase(found);
    Discard(closed.mRunning);
    for (caller_request const& waiting : closed.mWaiting)
      mCalls.erase(waiting.mCall);
  }

private:
  struct wake_worker
  {
    worker_wake* mWake;
    void operator()() const { mWake->Wake(); }
  };

  struct open_call
  {
    std::size_t mPeer;
    std::shared_ptr<caller_answer> mAnswer;
    caller_pace mPace = caller_pace::KeepingUp;
  };

  // Answers on one connection are sent in the order of the requests, so a
  // request waits until the one before it is answered.
  struct connection
  {
    call_number mRunning;
    std::deque<caller_request> mWaiting;
  };

  void StartOnce(Pistache::Tcp::Transport& aTransport)
  {
    if (mIsStarted)
      return;
    mIsStarted = true;
    mWake.Start(aTransport, [this]() { HandleMessages(); });
  }

  bool AnswerDirectly(Pistache::Http::Request const& aRequest,
                      caller_answer& aAnswer)
  {
    if (aRequest.method() != Pistache::Http::Method::Get)
      return false;
    if (aRequest.resource() == "/v1/models") {
      aAnswer.SendComplete(200, "application/json", mSink.ModelsBody());
      return true;
    }
    if (aRequest.resource() == "/v1/instances") {
      aAnswer.SendComplete(200, "application/json", mSink.InstancesBody());
      return true;
    }
    return false;
  }

  void Begin(std::size_t aPeer, caller_request aRequest)
  {
    auto const [entry, isNew] = mConnections.try_emplace(aPeer);
    if (!isNew) {
      entry->second.mWaiting.push_back(std::move(aRequest));
      return;
    }
    entry->second.mRunning = aRequest.mCall;
    mSink.OnCall(std::move(aRequest));
  }

  void HandleMessages()
  {
    for (front_message& message : mMessages.Drain())
      std::visit([this](auto& aMessage) { Handle(aMessage); }, message);
  }

  void Handle(front_head& aHead)
  {
    Write(aHead.mCall, [&aHead](caller_answer& aAnswer) {
      aAnswer.Begin(aHead.mStatus, aHead.mContentType);
    });
  }

  void Handle(front_piece& aPiece)
  {
    Write(aPiece.mCall,
          [&aPiece](caller_answer& aAnswer) { aAnswer.Write(aPiece.mBytes); });
  }

  void Handle(front_end& aEnd)
  {
    Write(aEnd.mCall, [](caller_answer& aAnswer) { aAnswer.End(); });
    Finish(aEnd.mCall);
  }

  void Handle(front_answer& aAnswer)
  {
    Write(aAnswer.mCall, [&aAnswer](caller_answer& aWriter) {
      aWriter.SendComplete(
        aAnswer.mStatus, aAnswer.mContentType, aAnswer.mBody);
    });
    Finish(aAnswer.mCall);
  }

  void Handle(front_refusal& aRefusal)
  {
    Write(aRefusal.mCall, [&aRefusal](caller_answer& aAnswer) {
      aAnswer.SendRefusal(aRefusal.mRefusal);
    });
    Finish(aRefusal.mCall);
  }

  // A message for a call that has ended is dropped, so that late pieces never
  // reach another caller. Pistache throws on a write to a caller that has just
  // disconnected.
  template<typename Action>
  void Write(call_number aCall, Action const& aAction)
  {
    auto const found = mCalls.find(aCall);
    if (found == mCalls.end())
      return;
    std::shared_ptr<caller_answer> const answer = found->second.mAnswer;
    try {
      aAction(*answer);
    } catch (std::exception const&) {
      Discard(aCall);
      return;
    }
    UpdatePace(aCall);
  }

  void UpdatePace(call_number aCall)
  {
    auto const found = mCalls.find(aCall);
    if (found == mCalls.end())
      return;
    open_call& call = found->second;
    std::size_t const unsent = call.mAnswer->UnsentBytes();
    caller_pace pace = call.mPace;
    if (unsent > mOptions.mMaxUnsentBytes)
      pace = caller_pace::Slow;
    if (unsent == 0)
      pace = caller_pace::KeepingUp;
    if (pace == call.mPace)
      return;
    call.mPace = pace;
    mSink.OnPace(aCall, pace);
  }

  void Finish(call_number aCall)
  {
    auto const found = mCalls.find(aCall);
    if (found == mCalls.end())
      return;
    std::size_t const peer = found->second.mPeer;
    mCalls.erase(found);
    BeginNext(peer);
  }

  void BeginNext(std::size_t aPeer)
  {
    auto const found = mConnections.find(aPeer);
    if (found == mConnections.end())
      return;
    std::deque<caller_request>& waiting = found->second.mWaiting;
    if (waiting.empty()) {
      mConnections.erase(found);
      return;
    }
    caller_request next = std::move(waiting.front());
    waiting.pop_front();
    found->second.mRunning = next.mCall;
    mSink.OnCall(std::move(next));
  }

  void Discard(call_number aCall)
  {
    if (mCalls.erase(aCall) != 0)
      mSink.OnCallerDisconnected(aCall);
  }

  Sink& mSink;
  front_options const& mOptions;
  call_number mNextCall;
  bool mIsStarted = false;
  worker_wake mWake;
  mailbox<front_message, wake_worker> mMessages;
  std::unordered_map<call_number, open_call> mCalls;
  std::unordered_map<std::size_t, connection> mConnections;
};

}
