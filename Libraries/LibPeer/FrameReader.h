#pragma once

#include <LibPeer/FrameFault.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace lycheeseam {

/// Splits a stream of bytes into frames: four bytes of length, least
/// significant first, then the content.
///
/// It buffers only bytes that arrived, so a peer that announces a large frame
/// and sends nothing takes no memory.
class frame_reader
{
public:
  /// A frame with more than aMaxBytes of content is a fault.
  explicit frame_reader(std::size_t aMaxBytes);

  /// Adds bytes in the order of their arrival; ignored after a fault.
  void Append(std::span<std::uint8_t const> aBytes);

  /// The content of the next complete frame, valid until the next call of any
  /// function; nothing when bytes are missing or after a fault.
  [[nodiscard]] std::optional<std::span<std::uint8_t const>> Next();

  /// The fault that ended reading, if any.
  [[nodiscard]] frame_fault Fault() const noexcept { return mFault; }

private:
  void DiscardConsumed();

  std::size_t mMaxBytes;
  std::vector<std::uint8_t> mBytes;
  std::size_t mConsumedBytes = 0;
  frame_fault mFault = frame_fault::None;
};

}
