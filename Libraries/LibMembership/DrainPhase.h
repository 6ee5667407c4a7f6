#pragma once

namespace lycheeseam {

/// How far a planned stop has come.
enum class drain_phase
{
  /// No stop was asked for.
  Serving,
  /// Callers are no longer told of this instance; those who were told may
  /// still come.
  Announced,
  /// No caller holds a valid answer any more: new requests are refused as not
  /// run, open ones go on.
  Finishing,
  /// Nothing is open, or the bound has passed: the process may end.
  Done,
};

}
