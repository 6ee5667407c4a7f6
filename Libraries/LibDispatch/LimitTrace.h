#pragma once

#include <LibCore/Instant.h>

#include <cstdint>
#include <optional>

namespace lycheeseam {

/// The last log line on the rate limit that a server names.
struct limit_trace
{
  /// In requests per second; empty when the line said that there is none.
  std::optional<double> mLimit;
  instant mLoggedAt{};
  /// Requests that this instance had sent to the server by then.
  std::uint64_t mSent = 0;
};

}
