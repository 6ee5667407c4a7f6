#pragma once

#include <LibPeer/FrameReader.h>
#include <LibPeer/LinkCloseReason.h>
#include <LibPeer/LinkNumber.h>
#include <LibPeer/SendQueue.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <utility>
#include <vector>

namespace lycheeseam {

/// Sends and receives frames over one TCP connection. Calls the owner's
/// OnConnected, OnFrame and, once at the end, OnConnectionClosed. Runs on the
/// control thread alone.
template<typename Owner>
class peer_connection
  : public std::enable_shared_from_this<peer_connection<Owner>>
{
public:
  using tcp = boost::asio::ip::tcp;
  using error_code = boost::system::error_code;

  peer_connection(tcp::socket aSocket,
                  link_number aNumber,
                  std::size_t aMaxFrameBytes,
                  std::size_t aMaxQueueBytes,
                  Owner& aOwner)
    : mSocket(std::move(aSocket))
    , mNumber(aNumber)
    , mReader(aMaxFrameBytes)
    , mQueue(aMaxQueueBytes)
    , mOwner(&aOwner)
  {
  }

  /// Connects, then reads.
  void Dial(tcp::endpoint const& aAddress)
  {
    mSocket.async_connect(
      aAddress, [self = this->shared_from_this()](error_code aError) {
        if (aError)
          return self->Close(link_close_reason::ConnectFailed);
        self->Start();
      });
  }

  /// Reads from a connection that is open already.
  void Start()
  {
    if (!mOwner)
      return;
    error_code ignored;
    mSocket.set_option(tcp::no_delay{ true }, ignored);
    mOwner->OnConnected(mNumber);
    Read();
  }

  /// Queues a frame.
  send_result Send(encoded_frame aFrame)
  {
    send_result const result = mQueue.Push(std::move(aFrame));
    if (mWriting.empty())
      Write();
    return result;
  }

  /// Closes the connection and reports it to the owner, unless it is closed or
  /// detached already; frames not yet read are dropped.
  void Close(link_close_reason aReason)
  {
    if (!mOwner)
      return;
    Owner* const owner = std::exchange(mOwner, nullptr);
    error_code ignored;
    mSocket.close(ignored);
    owner->OnConnectionClosed(mNumber, aReason);
  }

  /// Closes the connection without a call to the owner, whose destructor runs.
  void Detach()
  {
    mOwner = nullptr;
    error_code ignored;
    mSocket.close(ignored);
  }

private:
  static constexpr std::size_t kReadBytes = 1 << 14;

  void Read()
  {
    mSocket.async_read_some(
      boost::asio::buffer(mReadBuffer),
      [self = this->shared_from_this()](error_code aError, std::size_t aBytes) {
        if (aError)
          return self->Close(link_close_reason::Disconnected);
        self->OnBytes(std::span{ self->mReadBuffer }.first(aBytes));
      });
  }

  void OnBytes(std::span<std::uint8_t const> aBytes)
  {
    mReader.Append(aBytes);
    std::optional<std::span<std::uint8_t const>> frame = mReader.Next();
    while (mOwner && frame) {
      mOwner->OnFrame(mNumber, *frame);
      frame = mReader.Next();
    }
    if (mReader.Fault() == frame_fault::Empty)
      return Close(link_close_reason::EmptyFrame);
    if (mReader.Fault() == frame_fault::Oversized)
      return Close(link_close_reason::OversizedFrame);
    if (mOwner)
      Read();
  }

  void Write()
  {
    if (!mOwner)
      return;
    mWriting = mQueue.TakeBatch();
    if (mWriting.empty())
      return;
    std::vector<boost::asio::const_buffer> buffers;
    for (encoded_frame const& frame : mWriting)
      buffers.push_back(boost::asio::buffer(*frame));
    boost::asio::async_write(
      mSocket,
      buffers,
      [self = this->shared_from_this()](error_code aError, std::size_t) {
        self->mWriting.clear();
        self->mQueue.OnWritten();
        if (aError)
          return self->Close(link_close_reason::Disconnected);
        self->Write();
      });
  }

  tcp::socket mSocket;
  link_number mNumber;
  frame_reader mReader;
  send_queue mQueue;
  std::vector<encoded_frame> mWriting;
  std::array<std::uint8_t, kReadBytes> mReadBuffer{};
  /// Null once closed or detached.
  Owner* mOwner;
};

}
