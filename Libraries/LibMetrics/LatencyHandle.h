#pragma once

#include <cstddef>

namespace lycheeseam {

/// Refers to the latency series of a pool and of a workspace in one
/// metrics_recorder, so that recording a token needs no lookup. Valid as long
/// as the recorder.
struct latency_handle
{
  std::size_t mPoolIndex = 0;
  std::size_t mWorkspaceIndex = 0;
};

}
