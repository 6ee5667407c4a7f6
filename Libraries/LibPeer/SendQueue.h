#pragma once

#include <LibPeer/EncodedFrame.h>
#include <LibPeer/SendResult.h>

#include <cstddef>
#include <deque>
#include <vector>

namespace lycheeseam {

/// The frames that wait for one link, bounded in bytes.
class send_queue
{
public:
  explicit send_queue(std::size_t aMaxBytes);

  /// Adds a frame, or refuses it when that would exceed the bound.
  send_result Push(encoded_frame aFrame);

  /// Takes frames to be written together; empty when none wait. They count
  /// against the bound until OnWritten.
  [[nodiscard]] std::vector<encoded_frame> TakeBatch();

  /// The frames taken last have been written.
  void OnWritten();

  /// The bytes that wait or are being written.
  [[nodiscard]] std::size_t Bytes() const noexcept { return mBytes; }

private:
  std::size_t mMaxBytes;
  std::size_t mBytes = 0;
  std::size_t mBytesInWrite = 0;
  std::deque<encoded_frame> mFrames;
};

}
