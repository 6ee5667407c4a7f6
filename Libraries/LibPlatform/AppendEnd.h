#pragma once

namespace lycheeseam {

/// The final outcome of a submitted record.
enum class append_end
{
  /// A copy of the record is in the log at or before its last offset, and that
  /// entry has been applied.
  Applied,
  /// No copy of the record has been or will be applied.
  NotApplied,
  /// The state was loaded from a checkpoint that covers offsets where the
  /// record may be, so its entry was never seen; only the fold's state shows
  /// whether it was applied.
  Skipped,
};

}
