#pragma once

#include <LibCore/SystemClock.h>
#include <LibDispatch/TrackedServer.h>
#include <LibGateway/AnswerUse.h>
#include <LibGateway/ExchangeEnd.h>
#include <LibGateway/ExchangeEndFor.h>
#include <LibGateway/IdleTimeout.h>
#include <LibGateway/ServerConnector.h>
#include <LibGateway/ServerStream.h>
#include <LibGateway/UnusedInput.h>
#include <LibHttp/HttpStatus.h>
#include <LibHttp/InputLimits.h>
#include <LibHttp/TakeHead.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>

#include <array>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace lycheeseam {

/// Sends one request to one backend server and reads its answer. Runs on the
/// traffic thread.
///
/// Sink has OnExchangeHead(answer_head const&) -> answer_use,
/// OnExchangePiece(std::string_view) and OnExchangeEnd(exchange_end). Only the
/// pieces of an accepted answer are passed on. After a piece nothing more is
/// read until ReadNext is called, so a slow caller slows its server down. After
/// Cancel the sink is not called any more.
template<typename Sink>
class server_exchange
  : public std::enable_shared_from_this<server_exchange<Sink>>
{
public:
  using tcp = boost::asio::ip::tcp;
  using error_code = boost::system::error_code;

  server_exchange(boost::asio::io_context& aContext,
                  traffic_core& aCore,
                  std::shared_ptr<tracked_server> aServer,
                  std::shared_ptr<Sink> aSink)
    : mContext(aContext)
    , mCore(aCore)
    , mServer(std::move(aServer))
    , mSink(std::move(aSink))
    , mTimer(aContext)
  {
  }

  /// Sends a request; aBody must not be null.
  void Start(std::string aHead,
             std::shared_ptr<std::string const> aBody,
             bool aAnswerHasBody)
  {
    mHead = std::move(aHead);
    mBody = std::move(aBody);
    mAnswerHasBody = aAnswerHasBody;
    std::shared_ptr<tcp::socket> idle =
      mCore.Connections().Acquire(mClock.Now(), mServer->mRegistered);
    mIsReused = idle != nullptr;
    if (!mIsReused)
      return Connect();
    mStream.emplace(std::move(idle), std::nullopt);
    Send();
  }

  /// Reads the next piece of the answer.
  void ReadNext()
  {
    if (!mSink)
      return;
    if (std::exchange(mIsDonePending, false))
      return OnDone();
    mParser->get().body().data = mPiece.data();
    mParser->get().body().size = mPiece.size();
    boost::beast::http::async_read_some(
      *mStream,
      mBuffer,
      *mParser,
      [self = this->shared_from_this()](error_code aFault, std::size_t) {
        self->OnRead(aFault);
      });
  }

  /// Abandons the request; the server sees its connection close.
  void Cancel()
  {
    mSink.reset();
    Close();
  }

  /// True when an earlier request was answered over the connection, so that
  /// bytes of that answer may still arrive.
  [[nodiscard]] bool IsReused() const noexcept { return mIsReused; }

  /// True once the request may have reached the server.
  [[nodiscard]] bool IsSent() const noexcept { return mIsSent; }

private:
  // Answers come in small events; a larger buffer would only cost memory.
  static constexpr std::size_t kPieceBytes = 16'384;
  // How long the rest of an answer that no caller gets is read.
  static constexpr std::chrono::milliseconds kDiscardTimeout{ 100 };

  void Connect()
  {
    mConnector = std::make_shared<server_connector>(
      mContext,
      mCore,
      mServer,
      [self = this->shared_from_this()](connect_end aEnd,
                                        std::shared_ptr<tcp::socket> aSocket) {
        self->OnConnected(aEnd, std::move(aSocket));
      });
    // A local copy, because the end of the attempt removes the member.
    std::shared_ptr<server_connector> const started = mConnector;
    started->Start();
  }

  void OnConnected(connect_end aEnd, std::shared_ptr<tcp::socket> aSocket)
  {
    std::shared_ptr<server_connector> const connector =
      std::exchange(mConnector, nullptr);
    if (!mSink)
      return;
    if (aEnd == connect_end::Refused)
      return End(exchange_end::Refused);
    if (aEnd == connect_end::NotConnected)
      return End(exchange_end::NotConnected);
    if (aEnd == connect_end::NoPath)
      return End(exchange_end::NoPath);
    std::optional<tunnel_framing> framing;
    if (aEnd == connect_end::Tunnel) {
      framing = connector->Framing();
      mTunnelPeer = connector->Peer();
    }
    mStream.emplace(std::move(aSocket), framing);
    Send();
  }

  void Send()
  {
    mIsSent = true;
    std::array<boost::asio::const_buffer, 2> const buffers{
      boost::asio::buffer(mHead), boost::asio::buffer(*mBody)
    };
    boost::asio::async_write(
      mStream->Socket(),
      buffers,
      [self = this->shared_from_this()](error_code aFault, std::size_t) {
        // The end of the answer decides what became of
        // the request; a server may answer before it has
        // read all of a long body.
        self->mIsWritten = !aFault;
      });
    ReadHead();
  }

  void ReadHead()
  {
    mParser.emplace();
    mParser->body_limit(boost::none);
    if (!mAnswerHasBody)
      mParser->skip(true);
    boost::beast::http::async_read_header(
      *mStream,
      mBuffer,
      *mParser,
      [self = this->shared_from_this()](error_code aFault, std::size_t) {
        self->OnHead(aFault);
      });
  }

  void OnHead(error_code aFault)
  {
    if (!mSink)
      return;
    if (aFault)
      return End(EndFor(aFault));
    if (mParser->get().result_int() < kHttpOk)
      return mUnused.AddInterimAnswer() ? ReadHead()
                                        : End(exchange_end::Broken);
    answer_head const head = TakeAnswerHead(*mParser);
    mIdleTimeout = IdleTimeout(head);
    mUse = mSink->OnExchangeHead(head);
    if (!mSink)
      return;
    if (mUse == answer_use::Reject)
      return End(exchange_end::Broken);
    if (mParser->is_done())
      return OnDone();
    if (mUse == answer_use::Discard)
      LimitDiscard();
    ReadNext();
  }

  void LimitDiscard()
  {
    mTimer.expires_after(kDiscardTimeout);
    mTimer.async_wait([self = this->shared_from_this()](error_code aFault) {
      if (!aFault)
        self->End(exchange_end::Broken);
    });
  }

  void OnRead(error_code aFault)
  {
    if (!mSink)
      return;
    if (aFault && aFault != boost::beast::http::error::need_buffer)
      return End(EndFor(aFault));
    std::size_t const size = mPiece.size() - mParser->get().body().size;
    bool const isDone = mParser->is_done();
    bool const isUsed = mUse == answer_use::Accept;
    if (!isUsed && !mUnused.AddBytes(size))
      return End(exchange_end::Broken);
    if (size == 0 || !isUsed)
      return isDone ? OnDone() : ReadNext();
    mIsDonePending = isDone;
    mSink->OnExchangePiece({ mPiece.data(), size });
    if (mSink && std::exchange(mIsDonePending, false))
      OnDone();
  }

  [[nodiscard]] exchange_end EndFor(error_code aFault) const
  {
    return ExchangeEndFor(
      aFault, mTunnelPeer ? connect_end::Tunnel : connect_end::Direct);
  }

  void OnDone()
  {
    if (mUse == answer_use::Skip)
      return ReadHead();
    if (!mParser->need_eof())
      return End(exchange_end::Complete);
    // A failed write consumes the fault of a connection that was reset, and the
    // next read only sees an end.
    End(mIsWritten ? exchange_end::Closed : exchange_end::Broken);
  }

  void End(exchange_end aEnd)
  {
    std::shared_ptr<Sink> const sink = std::exchange(mSink, nullptr);
    if (!sink)
      return;
    if (aEnd == exchange_end::TunnelBroken)
      mCore.TunnelPeers().OnFailed(mClock.Now(), *mTunnelPeer);
    bool const isReusable = aEnd == exchange_end::Complete && mIsWritten &&
                            !mTunnelPeer && mParser->get().keep_alive() &&
                            mBuffer.size() == 0 && mIdleTimeout.count() > 0;
    if (isReusable)
      mCore.Connections().Release(
        mServer->mRegistered,
        { .mSocket = mStream->TakeSocket(),
          .mUsableUntil = mClock.Now() + mIdleTimeout });
    Close();
    sink->OnExchangeEnd(aEnd);
  }

  void Close()
  {
    mTimer.cancel();
    if (mConnector)
      std::exchange(mConnector, nullptr)->Cancel();
    if (mStream)
      mStream->Close();
  }

  boost::asio::io_context& mContext;
  traffic_core& mCore;
  std::shared_ptr<tracked_server> mServer;
  /// Null once the exchange has ended.
  std::shared_ptr<Sink> mSink;
  boost::asio::steady_timer mTimer;
  system_clock mClock;
  /// Null unless a connection is being opened.
  std::shared_ptr<server_connector> mConnector;
  /// Empty until a connection is open.
  std::optional<server_stream> mStream;
  std::string mHead;
  std::shared_ptr<std::string const> mBody;
  boost::beast::flat_buffer mBuffer{ kMaxInputBytes };
  std::optional<
    boost::beast::http::response_parser<boost::beast::http::buffer_body>>
    mParser;
  std::array<char, kPieceBytes> mPiece{};
  std::chrono::milliseconds mIdleTimeout{};
  bool mAnswerHasBody = true;
  bool mIsSent = false;
  bool mIsWritten = false;
  bool mIsReused = false;
  /// The peer that the connection goes through, for one request; empty for a
  /// direct connection.
  std::optional<instance_id> mTunnelPeer;
  answer_use mUse = answer_use::Accept;
  unused_input mUnused;
  /// True while the sink handles the last piece: ReadNext then ends the
  /// exchange instead of reading.
  bool mIsDonePending = false;
};

}
