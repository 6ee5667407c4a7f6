#pragma once

#include <cstddef>
#include <cstdint>

namespace lycheeseam {

/// How many peers an instance keeps links to.
struct peer_selection_options
{
  /// Up to this many instances, each has a link to each other one.
  std::size_t mAllToAll = 9;
  /// Rings through the instances of one failure domain.
  std::uint32_t mDomainRings = 1;
  /// Rings through all instances.
  std::uint32_t mFleetRings = 3;
};

}
