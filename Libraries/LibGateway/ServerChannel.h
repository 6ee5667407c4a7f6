#pragma once

#include <LibCore/Instant.h>

#include <boost/asio/ip/tcp.hpp>

#include <memory>

namespace lycheeseam {

/// An open connection to a backend server without a request on it.
struct server_channel
{
  std::shared_ptr<boost::asio::ip::tcp::socket> mSocket;
  /// The server may close it after this.
  instant mUsableUntil{};
};

}
