#pragma once

#include <cstddef>

namespace lycheeseam {

/// A pair of pool and workspace opened at one recorder, so that recording a
/// token needs no look-up; valid there for the recorder's life.
struct latency_handle
{
  std::size_t mPoolIndex = 0;
  std::size_t mWorkspaceIndex = 0;
};

}
