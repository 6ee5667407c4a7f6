#pragma once

#include <cstdint>

namespace lycheeseam {

/// The ready servers of a pool that run some software.
struct software_servers
{
  std::uint32_t mServers = 0;
  /// Requests that they run concurrently.
  std::uint32_t mSlots = 0;
};

}
