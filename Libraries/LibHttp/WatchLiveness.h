#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <chrono>

namespace lycheeseam {

/// Allows several retransmissions of lost packets before a backend server that
/// acknowledges nothing counts as unresponsive.
inline constexpr std::chrono::milliseconds kUnresponsiveTimeout{ 900 };

/// Makes a connection fail when its peer is unreachable: when sent bytes, or
/// the TCP keep-alive probes of an idle connection, stay unacknowledged for
/// aTimeout. A peer that merely works slowly isn't affected, since its kernel
/// acknowledges.
void
WatchLiveness(boost::asio::ip::tcp::socket& aSocket,
              std::chrono::milliseconds aTimeout);

}
