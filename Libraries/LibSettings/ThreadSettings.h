#pragma once

#include <cstdint>

namespace lycheeseam {

/// The number of traffic threads. There is always one control thread.
struct thread_settings
{
  std::uint32_t mFrontWorkers = 4;
  std::uint32_t mUpstreamLoops = 2;

  bool operator==(thread_settings const&) const = default;
};

}
