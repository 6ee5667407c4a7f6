#pragma once

#include <LibCore/Instant.h>

#include <chrono>
#include <cstdint>

namespace lycheeseam {

/// Size and time limits of a caller's request. The defaults apply until the
/// first configuration is read.
struct caller_limits
{
  std::uint32_t mHeaderBytes = 16'384;
  std::uint64_t mBodyBytes = 4'194'304;
  /// How long a caller may take to send a request's header.
  duration mHeaderTimeout = std::chrono::seconds{ 3 };
  /// How long a connection may stay open without a request.
  duration mIdleTimeout = std::chrono::seconds{ 15 };
};

}
