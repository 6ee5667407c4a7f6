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
  log_offset mLastOffset;
  outcome_callback mDone;
  instant mGiveUpAt{};
  backoff mBackoff;
  bool mIsSending = false;
  /// The log accepted a copy, or an answer was lost: a copy may be in the log
  /// or be stored later.
  bool mMayBeInLog = false;
  /// A checkpoint replaced offsets at which the record may be.
  bool mWasSkipped = false;
  /// The offset at which the log accepted a copy; 0 before that.
  log_offset mAcceptedAt{};
  /// The last attempt failed; its backoff starts at the next call of Advance,
  /// which passes in the time.
  bool mHasFailed = false;
};

}
