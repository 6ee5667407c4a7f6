#pragma once

#include <LibCore/Instant.h>

#include <boost/asio/ip/tcp.hpp>

#include <memory>

namespace lycheeseam {

/// An open connection to a backend server on which no request runs.
struct idle_connection
{
  std::shared_ptr<boost::asio::ip::tcp::socket> mSocket;
  /// The server may close the connection after this time.
  instant mUsableUntil{};
};

}
