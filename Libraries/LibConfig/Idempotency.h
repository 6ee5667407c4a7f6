#pragma once

namespace lycheeseam {

/// Whether a request may run more than once.
enum class idempotency
{
  /// Running it again does no harm, so a failed attempt may be retried on
  /// another server.
  Idempotent,
  /// It runs at most once: it is retried only when the verdict is NotRun.
  NonIdempotent,
};

}
