#pragma once

#include <LibCore/Instant.h>
#include <LibPlatform/AppendOutcome.h>
#include <LibPlatform/Backoff.h>
#include <LibRecords/LogRecord.h>

#include <functional>

namespace lycheeseam {

/// Receives the final outcome of a submitted record; runs once.
using outcome_callback = std::function<void(append_outcome const&)>;

/// A submitted record without a final outcome.
struct pending_append
{
  log_record mRecord;
  /// Copies of the record past this offset are not applied.
  log_offset mLastOffset;
  outcome_callback mDone;
  /// When failed appends are no longer retried.
  instant mGiveUpAt{};
  backoff mBackoff;
  bool mIsSending = false;
  /// The log accepted a copy, or an append got no valid answer: a copy may be
  /// in the log or be stored later.
  bool mMayBeInLog = false;
  /// The state was loaded from a checkpoint after the record was submitted, so
  /// the record's entry may never be seen.
  bool mWasSkipped = false;
  /// The offset at which the log accepted a copy; 0 before that.
  log_offset mAcceptedAt{};
  /// The last attempt failed; its backoff starts at the next call of Advance,
  /// which passes in the time.
  bool mHasFailed = false;
};

}
