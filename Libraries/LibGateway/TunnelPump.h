#pragma once

#include <LibPeer/FrameHeader.h>
#include <LibTunnel/TunnelFraming.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>
#include <utility>

namespace lycheeseam {

/// Copies what arrives on one connection to another, piece by piece, so that a
/// slow receiver slows the sender down; each piece in a frame of its own, if
/// asked for. Runs on the traffic thread.
///
/// Owner has OnPumped(tunnel_pump const&, std::string_view), called before each
/// piece is sent, and, of which one is called once,
/// OnInputEnd(tunnel_pump const&, error_code), with the end of the input or its
/// fault, and OnOutputFault(tunnel_pump const&).
template<typename Owner>
class tunnel_pump
{
public:
  using tcp = boost::asio::ip::tcp;
  using error_code = boost::system::error_code;

  tunnel_pump(tcp::socket& aFrom, tcp::socket& aTo, Owner& aOwner)
    : mFrom(aFrom)
    , mTo(aTo)
    , mOwner(aOwner)
  {
  }

  /// Before Read(): how the copy is sent.
  void SetFraming(tunnel_framing aFraming) { mFraming = aFraming; }

  /// Copies until the input ends.
  void Read()
  {
    mFrom.async_read_some(boost::asio::buffer(mPiece),
                          [this, owner = mOwner.shared_from_this()](
                            error_code aFault, std::size_t aBytes) {
                            if (aFault)
                              return mOwner.OnInputEnd(*this, aFault);
                            Write(aBytes);
                          });
  }

  /// True while bytes that have arrived wait to be sent.
  [[nodiscard]] bool IsWriting() const noexcept { return mIsWriting; }

private:
  static constexpr std::size_t kPieceBytes = 16'384;

  void Write(std::size_t aBytes)
  {
    mIsWriting = true;
    mOwner.OnPumped(*this, { mPiece.data(), aBytes });
    std::size_t const headerBytes =
      mFraming == tunnel_framing::Frames ? kFrameHeaderBytes : 0;
    mFrameHeader = EncodeFrameHeader(static_cast<std::uint32_t>(aBytes));
    std::array<boost::asio::const_buffer, 2> const buffers{
      boost::asio::buffer(mFrameHeader.data(), headerBytes),
      boost::asio::buffer(mPiece.data(), aBytes)
    };
    boost::asio::async_write(mTo,
                             buffers,
                             [this, owner = mOwner.shared_from_this()](
                               error_code aFault, std::size_t) {
                               mIsWriting = false;
                               if (aFault)
                                 return mOwner.OnOutputFault(*this);
                               Read();
                             });
  }

  tcp::socket& mFrom;
  tcp::socket& mTo;
  Owner& mOwner;
  tunnel_framing mFraming = tunnel_framing::None;
  std::array<std::uint8_t, kFrameHeaderBytes> mFrameHeader{};
  std::array<char, kPieceBytes> mPiece{};
  bool mIsWriting = false;
};

}
