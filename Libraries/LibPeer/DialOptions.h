#pragma once

#include <LibCore/Instant.h>

#include <chrono>

namespace lycheeseam {

/// Limits of the backoff between attempts to dial a peer.
struct dial_options
{
  duration mMinBackoff = std::chrono::milliseconds{ 200 };
  duration mMaxBackoff = std::chrono::seconds{ 10 };
};

}
