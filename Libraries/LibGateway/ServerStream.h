#pragma once

#include <LibTunnel/TunnelReader.h>

#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <optional>
#include <utility>

namespace lycheeseam {

/// The connection that carries a request to a backend server and its answer
/// back, directly or through a tunnel. Reading follows Asio's AsyncReadStream,
/// and must not be pending when this object is destroyed.
class server_stream
{
public:
  using tcp = boost::asio::ip::tcp;
  using executor_type = tcp::socket::executor_type;

  /// aFraming is empty for a direct connection.
  server_stream(std::shared_ptr<tcp::socket> aSocket,
                std::optional<tunnel_framing> aFraming)
    : mSocket(std::move(aSocket))
  {
    if (aFraming)
      mTunnel.emplace(*aFraming);
  }

  // The names of these two are Asio's.
  // NOLINTNEXTLINE(readability-identifier-naming)
  [[nodiscard]] executor_type get_executor() { return mSocket->get_executor(); }

  template<typename Buffers, typename Handler>
  // NOLINTNEXTLINE(readability-identifier-naming)
  void async_read_some(Buffers const& aBuffers, Handler&& aHandler)
  {
    if (mTunnel)
      return mTunnel->Read(*mSocket, aBuffers, std::forward<Handler>(aHandler));
    mSocket->async_read_some(aBuffers, std::forward<Handler>(aHandler));
  }

  /// The connection; what is written to it reaches the server.
  [[nodiscard]] tcp::socket& Socket() { return *mSocket; }

  /// Gives up the connection, for another request.
  [[nodiscard]] std::shared_ptr<tcp::socket> TakeSocket()
  {
    return std::exchange(mSocket, nullptr);
  }

  void Close()
  {
    boost::system::error_code ignored;
    if (mSocket)
      mSocket->close(ignored);
  }

private:
  std::shared_ptr<tcp::socket> mSocket;
  /// Empty for a direct connection.
  std::optional<tunnel_reader> mTunnel;
};

}
