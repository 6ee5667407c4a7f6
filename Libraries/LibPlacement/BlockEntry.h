#pragma once

#include <LibPlacement/BlockHash.h>

#include <cstdint>

namespace lycheeseam {

/// One block on one incarnation of a backend server. The hash holds the
/// workspace and the weights, the server number the server and its incarnation.
struct block_entry
{
  block_hash mBlock;
  /// Zero in an empty place.
  std::uint32_t mServerNumber = 0;
  /// When the block was last confirmed, in ticks of the map's clock.
  std::uint32_t mSeenTick : 30 = 0;
  /// The engine's event stream named the block.
  std::uint32_t mIsFromEvent : 1 = 0;
  /// A request with this block was sent to, or answered by, the server.
  std::uint32_t mIsFromRequest : 1 = 0;
};

// 140 million blocks over 330 instances leave 424,000 entries to each; with a
// third of the table's places kept free an entry takes about 24 bytes.
static_assert(sizeof(block_entry) == 16);

}
