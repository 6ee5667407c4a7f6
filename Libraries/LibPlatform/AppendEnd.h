#pragma once

namespace lycheeseam {

/// The definite end of an append.
enum class append_end
{
  /// The record counts; its entry has been applied.
  Landed,
  /// The record doesn't count and never will.
  NotLanded,
  /// The state jumped over the offsets where the record may have landed: only
  /// the fold can tell.
  Skipped,
};

}
