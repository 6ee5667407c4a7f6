#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Instant.h>

#include <cstdint>

namespace lycheeseam {

/// What a backend server last reported of itself; it is always late.
struct server_load
{
  /// Prompt tokens that wait for their prefill.
  token_count mQueuedTokens = 0;
  /// Requests whose answers are being generated.
  std::uint32_t mRunning = 0;
  /// When the server measured this, as near as the reader knows.
  instant mMeasuredAt{};
};

}
