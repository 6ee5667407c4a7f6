#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Instant.h>

namespace lycheeseam {

/// How long a server took to the first event of an answer.
struct speed_sample
{
  /// From the moment the request was sent.
  duration mFirstEvent{};
  /// Tokens of the request's prompt.
  token_count mTokens = 0;
  /// Tokens of the requests that waited on the server when it was sent.
  double mWaitingTokens = 0;
  /// How long work took on the server, relative to its usual time.
  double mSlowdown = 1;

  /// Seconds per token that was read, without what the server's momentary
  /// slowdown explains; 0 when the sample tells nothing.
  [[nodiscard]] double Pace() const;
};

}
