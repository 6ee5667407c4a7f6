#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>

namespace lycheeseam {

/// The size of a frame's header, which holds the length of the content.
inline constexpr std::size_t kFrameHeaderBytes = 4;

/// The header of a frame with that many bytes of content.
std::array<std::uint8_t, kFrameHeaderBytes>
EncodeFrameHeader(std::uint32_t aContentBytes);

/// The length of the content that a header announces, in bytes.
std::uint32_t
DecodeFrameHeader(std::span<std::uint8_t const, kFrameHeaderBytes> aHeader);

}
