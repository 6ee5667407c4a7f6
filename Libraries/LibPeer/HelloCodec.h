#pragma once

#include <LibPeer/PeerHello.h>

#include <PeerMessage_generated.h>

/// \file Who an instance is, as a table of its own and within others.

namespace lycheeseam {

/// Builds the table.
flatbuffers::Offset<wire::Hello>
EncodeHello(flatbuffers::FlatBufferBuilder& aBuilder, peer_hello const& aHello);

/// Reads a verified table; throws invalid_input.
peer_hello
DecodeHello(wire::Hello const& aTable);

}
