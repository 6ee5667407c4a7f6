#pragma once

namespace lycheeseam {

/// Whether an instance may decide on keyed requests.
enum class freshness_verdict
{
  /// This instance or a peer read the log's tail within the bound.
  Confirmed,
  /// No reachable instance can read the log, and a majority of instances is
  /// reachable: serve from the entries applied so far.
  LogUnreachable,
  /// This instance is separated from the log and the majority, or has just been
  /// paused. Others may know of newer entries: refuse keyed requests as not
  /// run.
  Partitioned,
};

}
