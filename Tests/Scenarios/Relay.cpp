#include "Relay.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <utility>

namespace lycheeseam {

using boost::asio::awaitable;
using boost::asio::redirect_error;
using boost::asio::use_awaitable;
using boost::asio::ip::tcp;

namespace {

constexpr std::size_t kBufferBytes = 16384;

}

/// The two sockets of a relayed connection.
struct relay::link
{
  tcp::socket mCaller;
  tcp::socket mTarget;
  /// Whether the next byte of an answer resets the connection.
  bool mLosesAnswer = false;

  /// Resets both connections.
  void Abort()
  {
    boost::system::error_code ignored;
    mCaller.set_option(tcp::socket::linger{ true, 0 }, ignored);
    mTarget.set_option(tcp::socket::linger{ true, 0 }, ignored);
    mCaller.close(ignored);
    mTarget.close(ignored);
  }
};

relay::relay(boost::asio::io_context& aContext, std::uint16_t aTargetPort)
  : mContext(aContext)
  , mTarget(boost::asio::ip::address_v4::loopback(), aTargetPort)
  , mAcceptor(aContext, { boost::asio::ip::address_v4::loopback(), 0 })
  , mHealed(aContext)
  , mPort(mAcceptor.local_endpoint().port())
{
}

void
relay::Start()
{
  boost::asio::co_spawn(
    mContext,
    [self = shared_from_this()]() { return self->AcceptAll(); },
    boost::asio::detached);
}

void
relay::Cut()
{
  mIsCut = true;
  mHealed.expires_at(boost::asio::steady_timer::time_point::max());
}

void
relay::Heal()
{
  mIsCut = false;
  mHealed.cancel();
}

void
relay::Reset()
{
  for (std::weak_ptr<link> const& weak : std::exchange(mLinks, {})) {
    if (std::shared_ptr<link> const open = weak.lock())
      open->Abort();
  }
}

awaitable<void>
relay::AcceptAll()
{
  boost::system::error_code error;
  while (!error) {
    tcp::socket caller{ mContext };
    co_await mAcceptor.async_accept(caller,
                                    redirect_error(use_awaitable, error));
    if (error)
      co_return;
    std::shared_ptr<link> const accepted = std::make_shared<link>(
      link{ std::move(caller), tcp::socket{ mContext } });
    mLinks.push_back(accepted);
    boost::asio::co_spawn(
      mContext,
      [self = shared_from_this(), accepted]() { return self->Serve(accepted); },
      boost::asio::detached);
  }
}

awaitable<void>
relay::Serve(std::shared_ptr<link> aLink)
{
  co_await UntilHealed();
  boost::system::error_code error;
  co_await aLink->mTarget.async_connect(mTarget,
                                        redirect_error(use_awaitable, error));
  if (error) {
    aLink->Abort();
    co_return;
  }
  aLink->mCaller.set_option(tcp::no_delay{ true }, error);
  aLink->mTarget.set_option(tcp::no_delay{ true }, error);
  boost::asio::co_spawn(
    mContext,
    [self = shared_from_this(), aLink]() {
      return self->Pump(aLink, direction::Answer);
    },
    boost::asio::detached);
  co_await Pump(aLink, direction::Request);
}

awaitable<void>
relay::Pump(std::shared_ptr<link> aLink, direction aDirection)
{
  bool const isAnswer = aDirection == direction::Answer;
  tcp::socket& from = isAnswer ? aLink->mTarget : aLink->mCaller;
  tcp::socket& to = isAnswer ? aLink->mCaller : aLink->mTarget;
  std::array<char, kBufferBytes> buffer{};
  boost::system::error_code error;
  while (!error) {
    std::size_t const size = co_await from.async_read_some(
      boost::asio::buffer(buffer), redirect_error(use_awaitable, error));
    // The loss applies to the first request read from now on, not to the answer
    // to an earlier request, whose caller may have disconnected.
    if (!isAnswer && size > 0 && std::exchange(mLosesNextAnswer, false))
      aLink->mLosesAnswer = true;
    co_await UntilHealed();
    if (error)
      break;
    if (isAnswer && aLink->mLosesAnswer) {
      aLink->Abort();
      co_return;
    }
    co_await boost::asio::async_write(to,
                                      boost::asio::buffer(buffer.data(), size),
                                      redirect_error(use_awaitable, error));
  }
  // Passes a reset on as a reset and an orderly end as an orderly end.
  if (error != boost::asio::error::eof)
    aLink->Abort();
  else
    to.shutdown(tcp::socket::shutdown_send, error);
}

awaitable<void>
relay::UntilHealed()
{
  boost::system::error_code ignored;
  while (mIsCut)
    co_await mHealed.async_wait(redirect_error(use_awaitable, ignored));
}

}
