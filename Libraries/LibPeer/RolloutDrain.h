#pragma once

#include <cstdint>

namespace lycheeseam {

/// An order for whose pool no request of some instances runs on, or is on its
/// way to, other software than the order's target.
struct rollout_drain
{
  /// The number of the order.
  std::uint64_t mOrder = 0;
  /// The least revision of the order's state that these instances follow.
  std::uint64_t mRevision = 0;

  bool operator==(rollout_drain const&) const = default;
};

}
