#pragma once

namespace lycheeseam {

/// Whether an instance may decide on keyed work.
enum class freshness_verdict
{
  /// The log's tail was read within the bound, by it or by a peer.
  Confirmed,
  /// Nobody within reach reads the log, and most instances are within reach:
  /// serve on what is known.
  LogOut,
  /// Others may know more than this instance: refuse keyed work as not run.
  CutOff,
};

}
