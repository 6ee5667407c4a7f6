#pragma once

#include <LibPeer/PeerHello.h>

#include <PeerMessage_generated.h>

/// \file Encodes and decodes peer_hello, which is a message of its own and a
/// part of roster entries.

namespace lycheeseam {

/// Builds the table.
flatbuffers::Offset<wire::Hello>
EncodeHello(flatbuffers::FlatBufferBuilder& aBuilder, peer_hello const& aHello);

/// Reads a verified table; throws invalid_input.
peer_hello
DecodeHello(wire::Hello const& aTable);

}
