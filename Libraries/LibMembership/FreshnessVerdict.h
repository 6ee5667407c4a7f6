#pragma once

namespace lycheeseam {

/// Whether an instance may decide on keyed requests.
enum class freshness_verdict
{
  /// This instance or a peer read the log's tail within the bound, and this
  /// instance has applied all entries up to it.
  Confirmed,
  /// No such reading is known, but a majority of instances is reachable, so
  /// the log itself is taken to be unreachable: serve from the entries applied
  /// so far.
  LogUnreachable,
  /// This instance is separated from the log and the majority, or has just been
  /// paused. Others may know of newer entries: refuse keyed requests as not
  /// run.
  Partitioned,
};

}
