#pragma once

#include <cstddef>
#include <cstdint>

namespace lycheeseam {

/// How many peers an instance keeps links to.
struct peer_selection_options
{
  /// The largest fleet in which each instance is linked to every other one.
  std::size_t mFullMeshLimit = 9;
  /// The number of rings through the instances of one failure domain.
  std::uint32_t mDomainRings = 1;
  /// The number of rings through all instances.
  std::uint32_t mFleetRings = 3;
};

}
