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
  DropRead();
  mBytes.insert(mBytes.end(), aBytes.begin(), aBytes.end());
}

std::optional<std::span<std::uint8_t const>>
frame_reader::Next()
{
  std::span<std::uint8_t const> const unread =
    std::span{ mBytes }.subspan(mReadUpTo);
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
  mReadUpTo += kFrameHeaderBytes + length;
  return unread.subspan(kFrameHeaderBytes, length);
}

void
frame_reader::DropRead()
{
  if (mReadUpTo == mBytes.size()) {
    // A large frame must not hold its memory for the rest of the link's life.
    constexpr std::size_t kKeptCapacity = 1 << 16;
    if (mBytes.capacity() > kKeptCapacity)
      mBytes = {};
    mBytes.clear();
  } else {
    mBytes.erase(mBytes.begin(),
                 mBytes.begin() + static_cast<std::ptrdiff_t>(mReadUpTo));
  }
  mReadUpTo = 0;
}

}
