#pragma once

namespace lycheeseam {

/// The phase of a planned stop.
enum class drain_phase
{
  /// No stop was requested.
  Serving,
  /// Callers no longer get this instance's address; those that have it may
  /// still send requests.
  Announced,
  /// No caller's copy of the address is valid any more: new requests are
  /// refused as not run, open ones continue.
  Finishing,
  /// No request is open, or the time limit has passed: the process may exit.
  Done,
};

}
