#pragma once

#include <LibPeer/EncodedFrame.h>
#include <LibPeer/PeerMessage.h>

#include <cstdint>
#include <optional>
#include <span>

namespace lycheeseam {

/// Encodes a message as one frame, by the FlatBuffers schema
/// Schema/PeerMessage.fbs.
encoded_frame
EncodePeerMessage(peer_message const& aMessage);

/// Decodes a frame's content; nothing when it isn't a valid message. Never
/// reads outside of the content, whatever its bytes are.
std::optional<peer_message>
DecodePeerMessage(std::span<std::uint8_t const> aContent);

}
