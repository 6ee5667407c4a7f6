#include <LibPeer/FrameHeader.h>

namespace lycheeseam {

namespace {

constexpr unsigned kBitsInByte = 8;

}

std::array<std::uint8_t, kFrameHeaderBytes>
EncodeFrameHeader(std::uint32_t aContentBytes)
{
  std::array<std::uint8_t, kFrameHeaderBytes> header{};
  for (std::size_t i = 0; i < kFrameHeaderBytes; ++i)
    header[i] = static_cast<std::uint8_t>(aContentBytes >> (kBitsInByte * i));
  return header;
}

std::uint32_t
DecodeFrameHeader(std::span<std::uint8_t const, kFrameHeaderBytes> aHeader)
{
  std::uint32_t length = 0;
  for (std::size_t i = 0; i < kFrameHeaderBytes; ++i)
    length |= std::uint32_t{ aHeader[i] } << (kBitsInByte * i);
  return length;
}

}
