#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <cstddef>
#include <cstdint>

namespace lycheeseam {

/// Notices at once when a caller closes its connection while its request runs,
/// and keeps what the caller sends of further requests.
///
/// Owner holds the watch, its socket and its buffer, and has
/// shared_from_this(). Its RunningRequest() is the number of the request that
/// runs, or 0, and its Close() is called when the caller has closed.
template<typename Owner>
class close_watch
{
public:
  using tcp = boost::asio::ip::tcp;
  using error_code = boost::system::error_code;

  close_watch(tcp::socket& aSocket,
              boost::beast::flat_buffer& aBuffer,
              Owner& aOwner)
    : mSocket(aSocket)
    , mBuffer(aBuffer)
    , mOwner(aOwner)
  {
  }

  /// Watches while the request with this number runs.
  void Watch(std::uint64_t aRequest)
  {
    mSocket.async_wait(
      tcp::socket::wait_read,
      [this, owner = mOwner.shared_from_this(), aRequest](error_code aFault) {
        if (!aFault && mOwner.RunningRequest() == aRequest)
          OnReadable(aRequest);
      });
  }

private:
  // Limit for bytes that are read of pipelined requests while one runs. Beyond
  // it nothing is read, and only a failed write shows that the caller closed.
  static constexpr std::size_t kPipelinedBytes = 65'536;

  void OnReadable(std::uint64_t aRequest)
  {
    error_code fault;
    std::size_t const waiting = mSocket.available(fault);
    if (fault || waiting == 0)
      return mOwner.Close();
    if (mBuffer.size() + waiting > kPipelinedBytes)
      return;
    mBuffer.max_size(kPipelinedBytes);
    std::size_t const size = mSocket.read_some(mBuffer.prepare(waiting), fault);
    if (fault)
      return mOwner.Close();
    mBuffer.commit(size);
    Watch(aRequest);
  }

  tcp::socket& mSocket;
  boost::beast::flat_buffer& mBuffer;
  Owner& mOwner;
};

}
