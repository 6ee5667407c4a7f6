#pragma once

namespace lycheeseam {

/// The final outcome of a submitted record.
enum class append_end
{
  /// The record is in the log in time, and its entry has been applied.
  Applied,
  /// No copy of the record has been or will be applied.
  NotApplied,
  /// A checkpoint replaced the offsets where the record may be, so its entry
  /// was never seen; only the fold's state shows whether it was applied.
  Skipped,
};

}
