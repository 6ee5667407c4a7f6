#pragma once

#include <cstdint>
#include <string>

namespace lycheeseam {

/// The number of occurrences of one kind of event, whether or not their lines
/// were written.
struct event_count
{
  std::string mEvent;
  std::uint64_t mCount = 0;
};

}
