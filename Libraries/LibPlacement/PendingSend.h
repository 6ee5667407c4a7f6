#pragma once

#include <cstdint>
#include <vector>

namespace lycheeseam {

/// What was known of a prompt's blocks before it was sent, kept until its
/// answer shows which of them were still cached.
struct pending_send
{
  /// When it was sent, in ticks of the map's clock.
  std::uint32_t mSentTick = 0;
  /// When each block had been confirmed; zero for one that wasn't known.
  std::vector<std::uint32_t> mSeenTicks;
};

}
