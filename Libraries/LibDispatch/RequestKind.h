#pragma once

namespace lycheeseam {

/// Whether a route's requests may be retried after they may have run.
enum class request_kind
{
  /// May run more than once.
  Idempotent,
  /// May run at most once for each request of a caller.
  NonIdempotent,
  /// A stream of events; may run again only where it can be resumed.
  Stream,
};

}
