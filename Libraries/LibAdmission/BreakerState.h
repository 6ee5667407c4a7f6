#pragma once

namespace lycheeseam {

/// Whether a backend server may be sent work.
enum class breaker_state
{
  /// Work flows.
  Closed,
  /// Nothing is sent.
  Open,
  /// One request at a time is sent as a probe.
  HalfOpen,
};

}
