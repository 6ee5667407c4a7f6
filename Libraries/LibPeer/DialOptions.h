#pragma once

#include <LibCore/Instant.h>

#include <chrono>

namespace lycheeseam {

/// The pauses between attempts to reach one peer.
struct dial_options
{
  duration mMinBackoff = std::chrono::milliseconds{ 200 };
  duration mMaxBackoff = std::chrono::seconds{ 10 };
};

}
