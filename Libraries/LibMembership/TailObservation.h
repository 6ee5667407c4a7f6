#pragma once

#include <LibCore/Identifiers.h>

#include <chrono>

namespace lycheeseam {

/// Where the log's tail was, and how long ago it was read there by anyone.
struct tail_observation
{
  log_offset mTail;
  std::chrono::milliseconds mAge{ 0 };

  bool operator==(tail_observation const&) const = default;
};

}
