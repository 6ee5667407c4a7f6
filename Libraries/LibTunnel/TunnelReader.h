#pragma once

#include <LibPeer/FrameHeader.h>
#include <LibTunnel/TunnelFraming.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/compose.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <utility>

namespace lycheeseam {

/// Reads the bytes of a backend server that come through a tunnel.
///
/// A read ends with end-of-file only if the server has closed its connection.
/// When the tunnel ends without saying so, it ends with connection_aborted: the
/// peer may have ended while the server was still sending.
class tunnel_reader
{
public:
  using tcp = boost::asio::ip::tcp;
  using error_code = boost::system::error_code;

  explicit tunnel_reader(tunnel_framing aFraming)
    : mFraming(aFraming)
  {
  }

  /// Reads some bytes, as a stream of Asio does. This object must exist until
  /// the handler is called.
  template<typename Buffers, typename Handler>
  void Read(tcp::socket& aSocket, Buffers const& aBuffers, Handler&& aHandler)
  {
    boost::asio::async_compose<Handler, void(error_code, std::size_t)>(
      read_operation<Buffers>{
        .mReader = *this, .mSocket = aSocket, .mBuffers = aBuffers },
      aHandler,
      aSocket);
  }

private:
  enum class read_step
  {
    Start,
    FrameHeader,
    Bytes,
  };

  template<typename Buffers>
  struct read_operation
  {
    tunnel_reader& mReader;
    tcp::socket& mSocket;
    Buffers mBuffers;
    read_step mStep = read_step::Start;

    template<typename Operation>
    void operator()(Operation& aSelf,
                    error_code aFault = {},
                    std::size_t aBytes = 0)
    {
      if (aFault)
        return aSelf.complete(FaultOfTunnel(aFault), 0);
      switch (mStep) {
        case read_step::Start:
          return mReader.IsFrameHeaderDue() ? ReadFrameHeader(aSelf)
                                            : ReadBytes(aSelf);
        case read_step::FrameHeader:
          mReader.mUnreadBytes = DecodeFrameHeader(mReader.mFrameHeader);
          return mReader.mUnreadBytes == 0
                   ? aSelf.complete(boost::asio::error::eof, 0)
                   : ReadBytes(aSelf);
        case read_step::Bytes:
          mReader.OnBytes(aBytes);
          return aSelf.complete({}, aBytes);
      }
    }

    template<typename Operation>
    void ReadFrameHeader(Operation& aSelf)
    {
      mStep = read_step::FrameHeader;
      boost::asio::async_read(
        mSocket, boost::asio::buffer(mReader.mFrameHeader), std::move(aSelf));
    }

    template<typename Operation>
    void ReadBytes(Operation& aSelf)
    {
      mStep = read_step::Bytes;
      boost::asio::mutable_buffer const first =
        *boost::asio::buffer_sequence_begin(mBuffers);
      mSocket.async_read_some(
        boost::asio::buffer(first, mReader.MaxBytes(first.size())),
        std::move(aSelf));
    }
  };

  static error_code FaultOfTunnel(error_code aFault)
  {
    return aFault == boost::asio::error::eof
             ? boost::asio::error::connection_aborted
             : aFault;
  }

  [[nodiscard]] bool IsFrameHeaderDue() const noexcept
  {
    return mFraming == tunnel_framing::Frames && mUnreadBytes == 0;
  }

  // How many bytes one read may take: none beyond the current frame.
  [[nodiscard]] std::size_t MaxBytes(std::size_t aBufferBytes) const noexcept
  {
    return mFraming == tunnel_framing::Frames
             ? std::min<std::size_t>(aBufferBytes, mUnreadBytes)
             : aBufferBytes;
  }

  void OnBytes(std::size_t aBytes) noexcept
  {
    if (mFraming == tunnel_framing::Frames)
      mUnreadBytes -= static_cast<std::uint32_t>(aBytes);
  }

  tunnel_framing mFraming;
  std::array<std::uint8_t, kFrameHeaderBytes> mFrameHeader{};
  /// The bytes of the current frame that haven't been read.
  std::uint32_t mUnreadBytes = 0;
};

}
