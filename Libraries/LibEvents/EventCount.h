#pragma once

#include <cstdint>
#include <string>

namespace lycheeseam {

/// How often an event came, whether or not its lines were written.
struct event_count
{
  std::string mEvent;
  std::uint64_t mCount = 0;
};

}
