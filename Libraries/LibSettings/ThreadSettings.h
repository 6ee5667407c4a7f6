#pragma once

#include <cstdint>

namespace lycheeseam {

/// How many threads carry traffic; control state always has one.
struct thread_settings
{
  std::uint32_t mFrontWorkers = 4;
  std::uint32_t mUpstreamLoops = 2;

  bool operator==(thread_settings const&) const = default;
};

}
