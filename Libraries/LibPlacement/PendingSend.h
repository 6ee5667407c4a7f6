#pragma once

#include <cstdint>
#include <vector>

namespace lycheeseam {

/// When a prompt's blocks had last been known to be cached before it was sent.
/// Its answer shows which of them still were.
struct pending_send
{
  /// When it was sent, in ticks of block_map's clock.
  std::uint32_t mSentTick = 0;
  /// When each block was last known to be cached; zero for an unknown one.
  std::vector<std::uint32_t> mConfirmedTicks;
};

}
