#pragma once

#include <cstddef>
#include <cstdint>

namespace lycheeseam {

/// How many peers an instance keeps links to.
struct peer_selection_options
{
  /// The largest fleet in which each instance is linked to every other one. In
  /// a fleet of 9 these are 8 links each, as many as four rings give.
  std::size_t mFullMeshLimit = 9;
  /// The number of rings through the instances of one failure domain.
  std::uint32_t mDomainRings = 1;
  /// The number of rings through all instances. A single ring can split when a
  /// failure domain and a tenth of the other instances fail.
  std::uint32_t mFleetRings = 3;
};

}
