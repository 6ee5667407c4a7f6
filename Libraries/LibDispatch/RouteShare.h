#pragma once

#include <LibCore/Identifiers.h>

#include <cstdint>

namespace lycheeseam {

/// A pool of a route's traffic split, with its weight.
struct route_share
{
  pool_name mPool;
  /// Relative to the other shares of the route.
  std::uint32_t mWeight = 1;
};

}
