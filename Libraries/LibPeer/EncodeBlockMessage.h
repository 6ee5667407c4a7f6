#pragma once

#include <LibPeer/BlockMessage.h>
#include <LibPeer/EncodedBody.h>

namespace lycheeseam {

/// Builds the table of a message about cached blocks.
encoded_body
EncodeBlockMessage(flatbuffers::FlatBufferBuilder& aBuilder,
                   block_message const& aMessage);

}
