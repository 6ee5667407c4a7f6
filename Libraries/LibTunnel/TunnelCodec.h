#pragma once

#include <LibTunnel/TunnelAnswer.h>
#include <LibTunnel/TunnelRequest.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

/// \file The messages that open a tunnel. The Encode functions return frames
/// with their headers; the Decode functions take the content of a frame, and
/// return nothing when it is malformed.

namespace lycheeseam {

/// The most bytes that the content of a frame may have.
inline constexpr std::size_t kMaxTunnelMessageBytes = 1'024;

std::vector<std::uint8_t>
EncodeTunnelRequest(tunnel_request const& aRequest);

std::optional<tunnel_request>
DecodeTunnelRequest(std::span<std::uint8_t const> aContent);

std::vector<std::uint8_t>
EncodeTunnelAnswer(tunnel_answer const& aAnswer);

std::optional<tunnel_answer>
DecodeTunnelAnswer(std::span<std::uint8_t const> aContent);

}
