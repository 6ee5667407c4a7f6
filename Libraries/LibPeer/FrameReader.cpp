#include <LibPeer/FrameHeader.h>
#include <LibPeer/FrameReader.h>

namespace lycheeseam {

frame_reader::frame_reader(std::size_t aMaxBytes)
  : mMaxBytes(aMaxBytes)
{
}

void
frame_reader::Append(std::span<std::uint8_t const> aBytes)
{
  if (mFault != frame_fault::None)
    return;
  DiscardConsumed();
  mBytes.insert(mBytes.end(), aBytes.begin(), aBytes.end());
}

std::optional<std::span<std::uint8_t const>>
frame_reader::Next()
{
  std::span<std::uint8_t const> const unread =
    std::span{ mBytes }.subspan(mConsumedBytes);
  if (mFault != frame_fault::None || unread.size() < kFrameHeaderBytes)
    return std::nullopt;
  std::size_t const length =
    DecodeFrameHeader(unread.first<kFrameHeaderBytes>());
  if (length == 0)
    mFault = frame_fault::Empty;
  if (length > mMaxBytes)
    mFault = frame_fault::Oversized;
  if (mFault != frame_fault::None)
    return std::nullopt;
  if (unread.size() - kFrameHeaderBytes < length)
    return std::nullopt;
  mConsumedBytes += kFrameHeaderBytes + length;
  return unread.subspan(kFrameHeaderBytes, length);
}

void
frame_reader::DiscardConsumed()
{
  if (mConsumedBytes == mBytes.size()) {
    // Frees the buffer of a large frame, which would otherwise stay allocated
    // until the link closes.
    constexpr std::size_t kMaxKeptBytes = 1 << 16;
    if (mBytes.capacity() > kMaxKeptBytes)
      mBytes = {};
    mBytes.clear();
  } else {
    mBytes.erase(mBytes.begin(),
                 mBytes.begin() + static_cast<std::ptrdiff_t>(mConsumedBytes));
  }
  mConsumedBytes = 0;
}

}
