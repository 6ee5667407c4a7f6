#pragma once

#include <LibGateway/GatewayDialect.h>
#include <LibGateway/RefusalAnswer.h>
#include <LibGateway/TrafficCore.h>
#include <LibHttp/FormatHead.h>
#include <LibHttp/TakeHead.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace lycheeseam {

/// A connection on which the instance is asked about itself: whether it is
/// ready, and which addresses callers should use.
template<gateway_dialect Dialect>
class question_session
  : public std::enable_shared_from_this<question_session<Dialect>>
{
public:
  using tcp = boost::asio::ip::tcp;

  question_session(boost::asio::io_context& aContext,
                   traffic_core& aCore,
                   tcp::socket aSocket)
    : mCore(aCore)
    , mSocket(std::move(aSocket))
    , mTimer(aContext)
  {
  }

  void ReadRequest()
  {
    mTimer.expires_after(kIdleTimeout);
    mTimer.async_wait([self = this->shared_from_this()](auto aFault) {
      if (!aFault)
        self->Close();
    });
    mParser.emplace();
    boost::beast::http::async_read(
      mSocket,
      mBuffer,
      *mParser,
      [self = this->shared_from_this()](auto aFault, std::size_t) {
        if (aFault)
          return self->Close();
        self->OnRequest();
      });
  }

private:
  static constexpr std::chrono::seconds kIdleTimeout{ 15 };

  void OnRequest()
  {
    request_head const head = TakeRequestHead(*mParser);
    std::shared_ptr<fleet_view const> const& view = mCore.View(mClock.Now());
    bool const isReady = view->mConfig && !mCore.IsLeaving();
    answer_head answer{ .mStatus = 200, .mReason = "OK" };
    std::string body;
    if (Dialect::IsAddressQuestion(head) && !view->mEntries.empty()) {
      answer.mFields.push_back({ "Content-Type", "application/json" });
      body = Dialect::FormatAddresses(view->mEntries,
                                      mCore.Options().mAddressLifetime);
    } else if (!Dialect::IsReadinessCheck(head) || !isReady) {
      answer = RefusalHead(refusal_status::NotReady, {});
    }
    answer.mFields.push_back({ "Content-Length", std::to_string(body.size()) });
    mBytes = FormatAnswerHead(answer) + body;
    boost::asio::async_write(
      mSocket,
      boost::asio::buffer(mBytes),
      [self = this->shared_from_this()](auto aFault, std::size_t) {
        if (aFault || !self->mParser->get().keep_alive())
          return self->Close();
        self->ReadRequest();
      });
  }

  void Close()
  {
    mTimer.cancel();
    boost::system::error_code ignored;
    mSocket.close(ignored);
  }

  traffic_core& mCore;
  tcp::socket mSocket;
  boost::asio::steady_timer mTimer;
  system_clock mClock;
  boost::beast::flat_buffer mBuffer;
  std::optional<
    boost::beast::http::request_parser<boost::beast::http::empty_body>>
    mParser;
  std::string mBytes;
};

}
