#pragma once

#include <LibGateway/BodyFraming.h>
#include <LibGateway/EventCutter.h>
#include <LibHttp/AnswerHead.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace lycheeseam {

/// Passes a server's answer on to a caller so that it can still be replaced,
/// or taken up by another server, for as long as possible: small answers are
/// held until they are whole, streams are cut at the ends of their events.
class answer_relay
{
public:
  /// A server's answer begins. aIsEventStream says whether it is a stream
  /// whose events may come from several servers. Does nothing when an earlier
  /// server's head has gone to the caller.
  template<typename Caller>
  void Begin(Caller& aCaller, answer_head const& aHead, bool aIsEventStream)
  {
    if (mIsHeadSent)
      return;
    mIsEventStream = aIsEventStream;
    mIsHeld = !aIsEventStream && aHead.mLength.value_or(0) <= kHeldBytes;
    mHead = aHead;
    if (!mIsHeld)
      SendHead(aCaller);
  }

  /// A piece of the body came.
  template<typename Caller>
  void Take(Caller& aCaller, std::string_view aPiece)
  {
    if (mIsHeld) {
      mHeld += aPiece;
      if (mHeld.size() <= kHeldBytes)
        return;
      // An answer of unknown length that grew too large to be held.
      mIsHeld = false;
      SendHead(aCaller);
      return aCaller.SendPiece(std::exchange(mHeld, {}));
    }
    if (!mIsEventStream)
      return aCaller.SendPiece(aPiece);
    std::string const events = mEvents.Cut(aPiece);
    if (!events.empty())
      aCaller.SendPiece(events);
  }

  /// The answer is whole.
  template<typename Caller>
  void Finish(Caller& aCaller)
  {
    if (mIsHeld)
      return aCaller.SendWhole(mHead, mHeld);
    if (!mEvents.IsAtEventEnd())
      aCaller.SendPiece(mEvents.TakeRest());
    aCaller.SendEnd();
  }

  /// The server was lost: what the caller hasn't got is dropped.
  void DropRest()
  {
    mHeld.clear();
    mEvents.DropRest();
  }

  /// True once the caller has the head of an answer.
  [[nodiscard]] bool IsHeadSent() const noexcept { return mIsHeadSent; }

  /// True while another server's bytes can follow what the caller has.
  [[nodiscard]] bool CanGoOn(bool aIsResumable) const noexcept
  {
    return !mIsHeadSent || (mIsEventStream && aIsResumable);
  }

  /// The last whole event that the caller was sent, if it had an id.
  [[nodiscard]] std::optional<std::uint64_t> LastEvent() const noexcept
  {
    return mEvents.LastId();
  }

  /// The status of the answer; 0 before one began.
  [[nodiscard]] std::uint32_t Status() const noexcept { return mHead.mStatus; }

private:
  // Small enough to hold for each request that runs.
  static constexpr std::uint64_t kHeldBytes = 65'536;

  template<typename Caller>
  void SendHead(Caller& aCaller)
  {
    mIsHeadSent = true;
    bool const isSized = mHead.mLength && !mIsEventStream;
    aCaller.SendHead(mHead,
                     isSized ? body_framing::Sized : body_framing::Chunked);
  }

  answer_head mHead;
  std::string mHeld;
  event_cutter mEvents;
  bool mIsHeadSent = false;
  bool mIsEventStream = false;
  bool mIsHeld = false;
};

}
