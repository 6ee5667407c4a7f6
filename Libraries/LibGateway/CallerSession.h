#pragma once

#include <LibGateway/AnswerFormat.h>
#include <LibGateway/CallerSessionLimits.h>
#include <LibGateway/CloseWatch.h>
#include <LibGateway/DiscardUntilEnd.h>
#include <LibGateway/RequestFault.h>
#include <LibGateway/RequestRun.h>
#include <LibGateway/WriteQueue.h>
#include <LibHttp/InputLimits.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>

namespace lycheeseam {

/// One caller's connection: reads one request after another and writes their
/// answers. Runs on the traffic thread; keeps itself alive while the connection
/// is open.
template<gateway_dialect Dialect>
class caller_session
  : public std::enable_shared_from_this<caller_session<Dialect>>
{
public:
  using tcp = boost::asio::ip::tcp;
  using error_code = boost::system::error_code;

  caller_session(boost::asio::io_context& aContext,
                 traffic_core& aCore,
                 tcp::socket aSocket)
    : mContext(aContext)
    , mCore(aCore)
    , mSocket(std::move(aSocket))
    , mTimer(aContext)
    , mCloseWatch(mSocket, mBuffer, *this)
    , mOut(mSocket, *this)
  {
  }

  /// Waits for the next request.
  void ReadRequest()
  {
    caller_limits const limits = mCore.Limits(mClock.Now());
    mParser.emplace();
    mParser->header_limit(limits.mHeaderBytes);
    mParser->body_limit(limits.mBodyBytes);
    mBuffer.max_size(
      std::max(limits.mHeaderBytes + kInputMarginBytes, mBuffer.size()));
    mIdleSince = mClock.Now();
    WatchIdle(limits);
    boost::beast::http::async_read_header(
      mSocket,
      mBuffer,
      *mParser,
      [self = this->shared_from_this()](error_code aFault, std::size_t) {
        self->OnHead(aFault);
      });
  }

  void SendHead(answer_head const& aHead, body_framing aFraming)
  {
    Write(mFormat.Head(aHead, aFraming, Use()));
  }

  void SendPiece(std::string_view aPiece) { Write(mFormat.Piece(aPiece)); }

  void SendEnd()
  {
    MarkAnswered();
    Write(mFormat.End());
  }

  void SendCompleteAnswer(answer_head const& aHead, std::string_view aBody)
  {
    MarkAnswered();
    Write(mFormat.CompleteAnswer(aHead, aBody, Use()));
  }

  /// Closes the connection so that the caller sees the answer as incomplete.
  void Abort()
  {
    mRun.reset();
    Close();
  }

  [[nodiscard]] bool IsCongested() const
  {
    return mOut.Pending() > caller_session_limits::kCongestedBytes;
  }

  /// True while a request is being read or answered, or may have been sent and
  /// not been read yet.
  [[nodiscard]] bool IsBusy()
  {
    if (mRun != nullptr || mIsReadingBody || mOut.IsWriting() ||
        mBuffer.size() > 0)
      return true;
    if (mIsClosed || !mSocket.is_open())
      return false;
    bool const isNew =
      mRequests == 0 &&
      mClock.Now() - mOpenedAt < caller_session_limits::kFirstRequestTime;
    error_code fault;
    return isNew || mSocket.available(fault) > 0;
  }

  /// Gives a running request its final answer now.
  void EndRequest()
  {
    if (std::shared_ptr<run> const running = mRun)
      running->EndNow();
  }

  void Close()
  {
    mTimer.cancel();
    error_code ignored;
    mSocket.close(ignored);
    mIsClosed = true;
    if (std::shared_ptr<run> const cancelled = std::exchange(mRun, nullptr))
      cancelled->Cancel();
  }

private:
  friend class close_watch<caller_session>;
  friend class write_queue<caller_session>;
  using run = request_run<Dialect, caller_session>;

  // Closes the connection after a time, unless the timer is used for another
  // purpose before or the condition doesn't hold then.
  template<typename Condition>
  void CloseAfter(std::chrono::milliseconds aTime, Condition aCondition)
  {
    mTimer.expires_after(aTime);
    mTimer.async_wait(
      [self = this->shared_from_this(), aCondition](error_code aFault) {
        if (!aFault && aCondition(*self))
          self->Close();
      });
  }

  // The answer is complete; a caller that doesn't read it loses its connection.
  void MarkAnswered()
  {
    mIsAnswered = true;
    CloseAfter(caller_session_limits::kWriteTimeout,
               [](caller_session const& aSelf) { return aSelf.mIsAnswered; });
  }

  // Closes a connection that has begun a head but not completed it when the
  // header timeout ends, or that has sent nothing for the idle timeout.
  void WatchIdle(caller_limits const& aLimits)
  {
    mTimer.expires_after(aLimits.mHeaderTimeout);
    mTimer.async_wait(
      [self = this->shared_from_this(), aLimits](error_code aFault) {
        if (aFault || self->mIsClosed || self->mRun)
          return;
        bool const isIdle = self->mBuffer.size() == 0;
        if (isIdle &&
            self->mClock.Now() - self->mIdleSince < aLimits.mIdleTimeout)
          return self->WatchIdle(aLimits);
        self->Close();
      });
  }

  void OnHead(error_code aFault)
  {
    if (mIsClosed)
      return;
    if (aFault)
      return OnReadFault(aFault);
    if (HasUnsupportedCoding(mParser->get()))
      return RefuseInvalidBytes(refusal_status::BadRequest);
    CloseAfter(
      caller_session_limits::kBodyTimeout,
      [](caller_session const& aSelf) { return aSelf.mRun == nullptr; });
    if (ExpectsContinue(mParser->get()))
      Write("HTTP/1.1 100 Continue\r\n\r\n");
    mIsReadingBody = true;
    boost::beast::http::async_read(
      mSocket,
      mBuffer,
      *mParser,
      [self = this->shared_from_this()](error_code aBodyFault, std::size_t) {
        self->OnRequest(aBodyFault);
      });
  }

  void OnReadFault(error_code aFault)
  {
    if (std::optional<refusal_status> const refusal =
          RefusalForReadFault(aFault))
      return RefuseInvalidBytes(*refusal);
    Close();
  }

  void RefuseInvalidBytes(refusal_status aStatus)
  {
    mMustClose = true;
    SendCompleteAnswer(RefusalHead(aStatus, {}), {});
  }

  void OnRequest(error_code aFault)
  {
    mIsReadingBody = false;
    if (mIsClosed)
      return;
    if (aFault)
      return OnReadFault(aFault);
    mTimer.cancel();
    mIsAnswered = false;
    mMustClose = !mParser->get().keep_alive() || mCore.IsDraining();
    request_head head = TakeRequestHead(*mParser);
    mFormat.SetIsToHead(head.mMethod == "HEAD");
    mRun = std::make_shared<run>(mContext,
                                 mCore,
                                 this->shared_from_this(),
                                 std::move(head),
                                 std::move(mParser->get().body()));
    ++mRequests;
    std::shared_ptr<run> const started = mRun;
    mCloseWatch.Watch(mRequests);
    started->Start();
  }

  [[nodiscard]] std::uint64_t RunningRequest() const
  {
    return mRun == nullptr ? 0 : mRequests;
  }

  [[nodiscard]] connection_use Use() const
  {
    return mMustClose || mCore.IsDraining() ? connection_use::Closed
                                            : connection_use::Kept;
  }

  void Write(std::string_view aBytes)
  {
    if (!mIsClosed)
      mOut.Write(aBytes);
  }

  void OnWritten()
  {
    if (mIsClosed)
      return;
    if (!mIsAnswered) {
      if (std::shared_ptr<run> const running = mRun)
        running->OnDrained();
      return;
    }
    mRun.reset();
    mIsAnswered = false;
    if (Use() == connection_use::Closed)
      return Linger();
    ReadRequest();
  }

  void OnWriteFault() { Close(); }

  // An immediate close would reset the connection if received bytes are still
  // unread, and the caller could lose the answer.
  void Linger()
  {
    error_code ignored;
    mSocket.shutdown(tcp::socket::shutdown_send, ignored);
    CloseAfter(caller_session_limits::kLingerTime,
               [](caller_session const&) { return true; });
    DiscardUntilEnd(
      mSocket, mBuffer, [self = this->shared_from_this()]() { self->Close(); });
  }

  boost::asio::io_context& mContext;
  traffic_core& mCore;
  tcp::socket mSocket;
  boost::asio::steady_timer mTimer;
  system_clock mClock;
  boost::beast::flat_buffer mBuffer;
  std::optional<
    boost::beast::http::request_parser<boost::beast::http::string_body>>
    mParser;
  instant mOpenedAt = mClock.Now();
  instant mIdleSince{};
  std::shared_ptr<run> mRun;
  std::uint64_t mRequests = 0;
  close_watch<caller_session> mCloseWatch;
  write_queue<caller_session> mOut;
  answer_format mFormat;
  bool mIsReadingBody = false;
  bool mIsAnswered = false;
  bool mMustClose = false;
  bool mIsClosed = false;
};

}
