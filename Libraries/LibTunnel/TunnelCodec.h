#pragma once

#include <LibCore/ServerIdentity.h>
#include <LibTunnel/TunnelResult.h>

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
EncodeTunnelRequest(server_identity const& aServer);

std::optional<server_identity>
DecodeTunnelRequest(std::span<std::uint8_t const> aContent);

std::vector<std::uint8_t>
EncodeTunnelAnswer(tunnel_result aResult);

std::optional<tunnel_result>
DecodeTunnelAnswer(std::span<std::uint8_t const> aContent);

}
