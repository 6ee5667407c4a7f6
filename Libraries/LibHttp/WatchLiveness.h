#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <chrono>

namespace lycheeseam {

/// Lets a connection fail when its other end has fallen silent: when sent
/// bytes stay unacknowledged for aTimeout, or when an idle connection's probes
/// do. Slow work on the other end doesn't count, since its machine answers.
void
WatchLiveness(boost::asio::ip::tcp::socket& aSocket,
              std::chrono::milliseconds aTimeout);

}
