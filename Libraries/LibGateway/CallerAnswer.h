#pragma once

#include <LibGateway/AnswerRelay.h>
#include <LibGateway/RefusalAnswer.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <utility>

namespace lycheeseam {

/// The one final answer that a request gives its caller: that of a server, or a
/// refusal. The caller is released with it and gets nothing more.
///
/// Caller has SendHead(answer_head, body_framing), SendPiece(string_view),
/// SendEnd(), SendCompleteAnswer(answer_head, string), Abort() and
/// IsCongested().
template<typename Caller>
class caller_answer
{
public:
  explicit caller_answer(std::shared_ptr<Caller> aCaller)
    : mCaller(std::move(aCaller))
  {
  }

  /// Begins a server's answer; aIsEventStream is true for a stream whose events
  /// may come from several servers.
  void Begin(answer_head const& aHead, bool aIsEventStream)
  {
    mRelay.Begin(*mCaller, aHead, aIsEventStream);
  }

  /// Passes a piece of the answer's body on.
  void RelayPiece(std::string_view aPiece)
  {
    mRelay.RelayPiece(*mCaller, aPiece);
  }

  /// Pauses the answer while its caller is congested; false when it isn't.
  [[nodiscard]] bool Pause()
  {
    mIsPaused = mCaller->IsCongested();
    return mIsPaused;
  }

  /// Ends a pause; false when there was none.
  [[nodiscard]] bool Resume() { return std::exchange(mIsPaused, false); }

  /// Discards what the caller has not been sent, because the answer broke off.
  void DiscardUnsent() { mRelay.DiscardUnsent(); }

  /// Sends the rest of a server's complete answer.
  void Finish() { mRelay.Finish(*Release()); }

  /// Ends an answer that has begun, so that its caller sees it as incomplete.
  void Abort() { Release()->Abort(); }

  void Refuse(refusal_status aStatus, std::chrono::milliseconds aRetryAfter)
  {
    Release()->SendCompleteAnswer(RefusalHead(aStatus, aRetryAfter), {});
  }

  /// Forgets a caller that has disconnected.
  void Drop() { mCaller.reset(); }

  /// True once the caller has its answer or has disconnected.
  [[nodiscard]] bool IsDone() const noexcept { return mCaller == nullptr; }

  /// What was passed on so far.
  [[nodiscard]] answer_relay const& Relay() const noexcept { return mRelay; }

private:
  std::shared_ptr<Caller> Release() { return std::move(mCaller); }

  std::shared_ptr<Caller> mCaller;
  answer_relay mRelay;
  bool mIsPaused = false;
};

}
