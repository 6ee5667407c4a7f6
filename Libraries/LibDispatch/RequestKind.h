#pragma once

namespace lycheeseam {

/// What a route's requests allow to be repeated.
enum class request_kind
{
  /// May run more than once.
  Idempotent,
  /// Runs at most once for each request of a caller.
  NonIdempotent,
  /// A stream of events; may run again only where it can be resumed.
  Stream,
};

}
