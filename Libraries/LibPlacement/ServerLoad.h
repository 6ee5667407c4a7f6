#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Instant.h>

#include <cstdint>

namespace lycheeseam {

/// The last load report of a backend server; it is always out of date.
struct server_load
{
  /// The prompt tokens that wait for prefill.
  token_count mQueuedTokens = 0;
  /// The number of requests whose answers are being generated.
  std::uint32_t mRunning = 0;
  /// When the server measured this, as far as the receiver can tell.
  instant mMeasuredAt{};
};

}
