#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace lycheeseam {

/// True while a connection without a request is open and has no unread bytes.
/// After an end of stream, a reset or bytes that belong to no request it can't
/// be used again.
bool
IsConnectionIdle(boost::asio::ip::tcp::socket& aSocket);

}
