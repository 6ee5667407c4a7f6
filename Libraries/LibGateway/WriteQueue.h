#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <cstddef>
#include <string>
#include <string_view>

namespace lycheeseam {

/// The outgoing bytes of a connection: those added during a write are sent with
/// the next one.
///
/// Owner holds the queue and its socket, and has shared_from_this(). Its
/// OnWritten() is called when all bytes are written, its OnWriteFault() when a
/// write fails.
template<typename Owner>
class write_queue
{
public:
  using tcp = boost::asio::ip::tcp;

  write_queue(tcp::socket& aSocket, Owner& aOwner)
    : mSocket(aSocket)
    , mOwner(aOwner)
  {
  }

  /// Adds bytes; without any, only calls OnWritten() once all earlier bytes are
  /// written.
  void Write(std::string_view aBytes)
  {
    mPending += aBytes;
    if (!mIsWriting)
      WritePending();
  }

  /// Bytes whose write has not begun.
  [[nodiscard]] std::size_t Pending() const noexcept { return mPending.size(); }

  [[nodiscard]] bool IsWriting() const noexcept { return mIsWriting; }

private:
  void WritePending()
  {
    if (mPending.empty())
      return mOwner.OnWritten();
    mIsWriting = true;
    mWriting.clear();
    mWriting.swap(mPending);
    boost::asio::async_write(mSocket,
                             boost::asio::buffer(mWriting),
                             [this, owner = mOwner.shared_from_this()](
                               boost::system::error_code aFault, std::size_t) {
                               mIsWriting = false;
                               if (aFault)
                                 return mOwner.OnWriteFault();
                               WritePending();
                             });
  }

  tcp::socket& mSocket;
  Owner& mOwner;
  std::string mPending;
  std::string mWriting;
  bool mIsWriting = false;
};

}
