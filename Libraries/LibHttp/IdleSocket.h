#pragma once

#include <LibCore/Instant.h>

#include <boost/asio/ip/tcp.hpp>

#include <memory>

namespace lycheeseam {

/// A connection of an http_client that waits for its next call.
struct idle_socket
{
  std::shared_ptr<boost::asio::ip::tcp::socket> mSocket;
  instant mIdleSince{};
};

}
