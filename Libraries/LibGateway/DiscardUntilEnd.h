#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <cstddef>

namespace lycheeseam {

/// Reads and drops what arrives until the connection ends, then calls aOnEnd,
/// which keeps the socket and the buffer alive.
template<typename Handler>
void
DiscardUntilEnd(boost::asio::ip::tcp::socket& aSocket,
                boost::beast::flat_buffer& aBuffer,
                Handler aOnEnd)
{
  constexpr std::size_t kDiscardBytes = 4'096;
  aBuffer.clear();
  aBuffer.max_size(kDiscardBytes);
  aSocket.async_read_some(aBuffer.prepare(kDiscardBytes),
                          [&aSocket, &aBuffer, aOnEnd](
                            boost::system::error_code aFault, std::size_t) {
                            if (aFault)
                              return aOnEnd();
                            DiscardUntilEnd(aSocket, aBuffer, aOnEnd);
                          });
}

}
