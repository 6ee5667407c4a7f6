#pragma once

#include <LibCore/Endpoint.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <memory>
#include <vector>

namespace lycheeseam {

/// Accepts connections at one address and opens a session for each; Shared is
/// the state that all sessions use. Keeps weak references to its sessions, so
/// that a planned stop can find them.
template<typename Session, typename Shared>
class session_listener
{
public:
  using tcp = boost::asio::ip::tcp;

  /// Throws boost::system::system_error when the address is in use.
  session_listener(boost::asio::io_context& aContext,
                   Shared& aShared,
                   endpoint const& aAddress)
    : mContext(aContext)
    , mShared(aShared)
    , mAcceptor(
        aContext,
        { boost::asio::ip::make_address(aAddress.mAddress), aAddress.mPort })
    , mPause(aContext)
  {
  }

  /// Starts accepting connections.
  void Accept()
  {
    mAcceptor.async_accept(
      [this](boost::system::error_code aFault, tcp::socket aSocket) {
        if (aFault == boost::asio::error::operation_aborted)
          return;
        if (aFault)
          return Pause();
        // Accepts the next one first, so that an error in a session doesn't end
        // the listener.
        Accept();
        Open(std::move(aSocket));
      });
  }

  /// The port that it listens at.
  [[nodiscard]] std::uint16_t Port() const
  {
    return mAcceptor.local_endpoint().port();
  }

  /// Stops accepting connections. Those that the system has accepted already
  /// are served: their callers may have sent a request.
  void Close()
  {
    boost::system::error_code fault;
    mAcceptor.non_blocking(true, fault);
    while (!fault) {
      tcp::socket socket{ mContext };
      mAcceptor.accept(socket, fault);
      if (!fault)
        Open(std::move(socket));
    }
    mAcceptor.close(fault);
  }

  /// The sessions that are still open.
  [[nodiscard]] std::vector<std::shared_ptr<Session>> Sessions()
  {
    std::vector<std::shared_ptr<Session>> open;
    std::erase_if(mSessions, [&open](std::weak_ptr<Session> const& aSession) {
      std::shared_ptr<Session> session = aSession.lock();
      if (session)
        open.push_back(std::move(session));
      return aSession.expired();
    });
    return open;
  }

private:
  // Without free file descriptors, another accept at once would only spin.
  static constexpr std::chrono::milliseconds kFaultPause{ 50 };
  // Connections accepted between two removals of references to sessions that
  // have ended.
  static constexpr std::size_t kPruneInterval = 64;

  void Pause()
  {
    mPause.expires_after(kFaultPause);
    mPause.async_wait([this](boost::system::error_code aFault) {
      if (!aFault)
        Accept();
    });
  }

  void Open(tcp::socket aSocket)
  {
    boost::system::error_code ignored;
    aSocket.set_option(tcp::no_delay{ true }, ignored);
    std::shared_ptr<Session> const session =
      std::make_shared<Session>(mContext, mShared, std::move(aSocket));
    if (++mAccepted % kPruneInterval == 0)
      std::erase_if(mSessions,
                    [](auto const& aSession) { return aSession.expired(); });
    mSessions.push_back(session);
    session->ReadRequest();
  }

  boost::asio::io_context& mContext;
  Shared& mShared;
  tcp::acceptor mAcceptor;
  boost::asio::steady_timer mPause;
  std::vector<std::weak_ptr<Session>> mSessions;
  std::size_t mAccepted = 0;
};

}
