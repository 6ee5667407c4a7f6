#pragma once

#include <LibPeer/BlockMessage.h>

#include <PeerMessage_generated.h>

namespace lycheeseam {

/// Each decodes a verified table into its message.
block_message
DecodeBlockMessage(wire::BlockLookup const& aTable);
block_message
DecodeBlockMessage(wire::BlockAnswer const& aTable);
block_message
DecodeBlockMessage(wire::BlockUpdate const& aTable);

}
