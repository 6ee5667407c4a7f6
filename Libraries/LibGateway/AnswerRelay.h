#pragma once

#include <LibGateway/BodyFraming.h>
#include <LibGateway/EventSplitter.h>
#include <LibGateway/ExchangeEnd.h>
#include <LibHttp/AnswerHead.h>
#include <LibHttp/InputLimits.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace lycheeseam {

/// Passes a server's answer on to a caller so that another server can replace
/// or continue it for as long as possible: small answers are buffered until
/// they are complete, and event streams are sent only up to the end of an
/// event.
class answer_relay
{
public:
  /// Begins a server's answer. aIsEventStream is true for a stream whose events
  /// may come from several servers. Does nothing when the caller has been sent
  /// the head of an earlier server's answer.
  template<typename Caller>
  void Begin(Caller& aCaller, answer_head const& aHead, bool aIsEventStream)
  {
    if (mIsHeadSent)
      return;
    mIsEventStream = aIsEventStream;
    mIsBuffering =
      !aIsEventStream && aHead.mLength.value_or(0) <= kMaxBufferedBytes;
    mHead = aHead;
    if (!mIsBuffering)
      SendHead(aCaller);
  }

  /// Handles a piece of the answer's body.
  template<typename Caller>
  void RelayPiece(Caller& aCaller, std::string_view aPiece)
  {
    if (mIsBuffering) {
      mBuffered += aPiece;
      if (mBuffered.size() <= kMaxBufferedBytes)
        return;
      // An answer of unknown length has grown too large to buffer.
      mIsBuffering = false;
      SendHead(aCaller);
      return aCaller.SendPiece(std::exchange(mBuffered, {}));
    }
    if (!mIsEventStream)
      return aCaller.SendPiece(aPiece);
    std::string const events = mEvents.Split(aPiece);
    if (!events.empty())
      aCaller.SendPiece(events);
  }

  /// Sends the rest of an answer that is complete.
  template<typename Caller>
  void Finish(Caller& aCaller)
  {
    if (mIsBuffering)
      return aCaller.SendCompleteAnswer(mHead, mBuffered);
    aCaller.SendEnd();
  }

  /// True when an answer that ended so is complete. A stream that ends within
  /// an event has broken off, also when its framing is whole: its server may
  /// have failed while it wrote.
  [[nodiscard]] bool IsComplete(exchange_end aEnd) const noexcept
  {
    bool const isFramingWhole =
      aEnd == exchange_end::Complete || aEnd == exchange_end::Closed;
    return isFramingWhole && (!mIsEventStream || mEvents.IsAtEventEnd());
  }

  /// Discards what the caller has not been sent, because the answer broke off.
  void DiscardUnsent()
  {
    mBuffered.clear();
    mEvents.DropPartial();
  }

  /// True when an event has grown so large that the stream is no stream of
  /// events.
  [[nodiscard]] bool IsEventTooLarge() const noexcept
  {
    return mEvents.PartialBytes() > kMaxEventBytes;
  }

  /// True once the caller has been sent the head of an answer.
  [[nodiscard]] bool IsHeadSent() const noexcept { return mIsHeadSent; }

  /// True while another server's answer can follow what the caller has been
  /// sent: nothing yet, or complete events of a resumable stream.
  [[nodiscard]] bool CanContinue(bool aIsResumable) const noexcept
  {
    return !mIsHeadSent || (mIsEventStream && aIsResumable);
  }

  /// The last event id that the caller was sent, or nothing.
  [[nodiscard]] std::optional<std::uint64_t> LastEventId() const noexcept
  {
    return mEvents.LastId();
  }

  /// The HTTP status of the answer; 0 before one has begun.
  [[nodiscard]] std::uint32_t Status() const noexcept { return mHead.mStatus; }

private:
  // Small enough to buffer for every request that runs at once.
  static constexpr std::uint64_t kMaxBufferedBytes = 65'536;

  template<typename Caller>
  void SendHead(Caller& aCaller)
  {
    mIsHeadSent = true;
    bool const isSized = mHead.mLength && !mIsEventStream;
    aCaller.SendHead(mHead,
                     isSized ? body_framing::Sized : body_framing::Chunked);
  }

  answer_head mHead;
  std::string mBuffered;
  event_splitter mEvents;
  bool mIsHeadSent = false;
  bool mIsEventStream = false;
  bool mIsBuffering = false;
};

}
