#pragma once

#include <LibPeer/EncodedBody.h>
#include <LibPeer/FleetMessage.h>

namespace lycheeseam {

/// Builds the table of a fleet message.
encoded_body
EncodeFleetMessage(flatbuffers::FlatBufferBuilder& aBuilder,
                   fleet_message const& aMessage);

}
