#pragma once

namespace lycheeseam {

/// Why the frames of a peer can't be read any further.
enum class frame_fault
{
  None,
  /// A frame without content.
  Empty,
  /// A frame with more content than the limit.
  Oversized,
  /// A frame that isn't a message of the protocol.
  Malformed,
};

}
