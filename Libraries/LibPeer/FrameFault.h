#pragma once

namespace lycheeseam {

/// Why bytes from a peer can't be used.
enum class frame_fault
{
  None,
  /// A frame without content.
  Empty,
  /// A frame over the limit.
  Oversized,
  /// A frame that isn't a message of the protocol.
  Malformed,
};

}
