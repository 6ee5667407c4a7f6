#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>

namespace lycheeseam {

/// The bytes of a frame's length.
inline constexpr std::size_t kFrameHeaderBytes = 4;

/// The header of a frame with that many bytes of content.
std::array<std::uint8_t, kFrameHeaderBytes>
EncodeFrameHeader(std::uint32_t aContentBytes);

/// The bytes of content that a header announces.
std::uint32_t
DecodeFrameHeader(std::span<std::uint8_t const, kFrameHeaderBytes> aHeader);

}
