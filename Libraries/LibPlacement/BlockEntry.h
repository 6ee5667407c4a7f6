#pragma once

#include <LibPlacement/BlockHash.h>

#include <cstdint>

namespace lycheeseam {

/// A block cached by one incarnation of a backend server. The hash covers the
/// workspace and the weights; the server number identifies the server and its
/// incarnation.
struct block_entry
{
  block_hash mBlock;
  /// Zero in an empty entry.
  std::uint32_t mServerNumber = 0;
  /// When the block was last known to be cached, in ticks of block_map's clock.
  std::uint32_t mConfirmedTick : 30 = 0;
  /// The engine's event stream reported the block.
  std::uint32_t mIsFromEvent : 1 = 0;
  /// A request with this block was sent to the server or answered by it.
  std::uint32_t mIsFromRequest : 1 = 0;
};

// 140 million blocks over 330 instances make 424,000 entries for each. With a
// third of the table kept free, an entry takes about 24 bytes.
static_assert(sizeof(block_entry) == 16);

}
