#pragma once

#include <LibCore/Endpoint.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace lycheeseam {

/// An address that refuses connections for as long as this object exists: a
/// socket is bound to it and doesn't listen, so that no other one can take it.
class reserved_address
{
public:
  reserved_address()
    : mSocket(mContext, boost::asio::ip::tcp::v4())
  {
    mSocket.bind({ boost::asio::ip::make_address("127.0.0.1"), 0 });
  }

  [[nodiscard]] endpoint Address() const
  {
    return { .mAddress = "127.0.0.1",
             .mPort = mSocket.local_endpoint().port() };
  }

private:
  boost::asio::io_context mContext;
  boost::asio::ip::tcp::socket mSocket;
};

}
