#pragma once

#include <LibCore/Identifiers.h>

#include <chrono>

namespace lycheeseam {

/// The offset of the log's tail, and how long ago an instance read it.
struct tail_observation
{
  log_offset mTail;
  std::chrono::milliseconds mAge{ 0 };

  bool operator==(tail_observation const&) const = default;
};

}
