#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Instant.h>

#include <cstdint>

namespace lycheeseam {

/// An operator's order to move a pool's traffic to other software.
struct rollout_order
{
  pool_name mPool;
  software_version mTarget;
  duration mDuration{};
  /// The position of its record; a newer order has a higher number.
  std::uint64_t mNumber = 0;

  bool operator==(rollout_order const&) const = default;
};

}
