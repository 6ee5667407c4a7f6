#pragma once

#include <LibCore/Endpoint.h>

#include <StandIns/Http/HttpConnection.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <utility>
#include <vector>

namespace lycheeseam::standin {

/// Accepts the connections of a stand-in and serves them all on the
/// io_context's only thread.
template<http_handler Handler>
class http_server
{
public:
  http_server(boost::asio::io_context& aContext,
              endpoint const& aAddress,
              Handler& aHandler)
    : mAcceptor(aContext)
    , mAddress(boost::asio::ip::make_address(aAddress.mAddress), aAddress.mPort)
    , mHandler(aHandler)
  {
  }

  /// Opens the port and starts to accept connections.
  void Listen()
  {
    mAcceptor.open(mAddress.protocol());
    mAcceptor.set_option(boost::asio::socket_base::reuse_address{ true });
    mAcceptor.bind(mAddress);
    mAcceptor.listen();
    Accept();
  }

  /// Closes the port and resets every connection.
  void Abort()
  {
    boost::system::error_code ignored;
    mAcceptor.close(ignored);
    for (std::weak_ptr<connection> const& weak : mConnections) {
      if (std::shared_ptr<connection> const open = weak.lock())
        open->Abort();
    }
    mConnections.clear();
  }

private:
  using connection = http_connection<Handler>;

  void Accept()
  {
    auto const onAccept = [this](boost::system::error_code aError,
                                 boost::asio::ip::tcp::socket aSocket) {
      if (aError == boost::asio::error::operation_aborted)
        return;
      if (!aError)
        AddConnection(std::move(aSocket));
      Accept();
    };
    mAcceptor.async_accept(onAccept);
  }

  void AddConnection(boost::asio::ip::tcp::socket aSocket)
  {
    boost::system::error_code ignored;
    aSocket.set_option(boost::asio::ip::tcp::no_delay{ true }, ignored);
    std::shared_ptr<connection> const added =
      std::make_shared<connection>(std::move(aSocket), mHandler);
    std::erase_if(mConnections, [](std::weak_ptr<connection> const& aWeak) {
      return aWeak.expired();
    });
    mConnections.push_back(added);
    added->Read();
  }

  boost::asio::ip::tcp::acceptor mAcceptor;
  boost::asio::ip::tcp::endpoint mAddress;
  Handler& mHandler;
  std::vector<std::weak_ptr<connection>> mConnections;
};

}
