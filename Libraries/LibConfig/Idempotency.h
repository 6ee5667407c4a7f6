#pragma once

namespace lycheeseam {

/// Whether running a request twice does harm.
enum class idempotency
{
  /// Repeats are harmless: a failed attempt may be retried elsewhere.
  Idempotent,
  /// Runs at most once: retried only after a verdict of not run.
  NonIdempotent,
};

}
