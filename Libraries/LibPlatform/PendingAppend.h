#pragma once

#include <LibCore/Instant.h>
#include <LibPlatform/AppendOutcome.h>
#include <LibPlatform/Backoff.h>
#include <LibRecords/LogRecord.h>

#include <functional>

namespace lycheeseam {

/// Takes the definite end of a submitted record, once.
using outcome_callback = std::function<void(append_outcome const&)>;

/// A submitted record whose end isn't known yet.
struct pending_append
{
  log_record mRecord;
  log_offset mLastOffset;
  outcome_callback mDone;
  instant mGiveUpAt{};
  backoff mBackoff;
  bool mIsSending = false;
  /// An answer was lost, so a copy may be in the log or land later.
  bool mMayLand = false;
  /// Offsets where it may stand were jumped over.
  bool mWasSkipped = false;
  /// The log gave this offset to a copy; 0 before that.
  log_offset mAcceptedAt{};
  /// The last try failed; the pause starts when the time is next known.
  bool mHasFailed = false;
};

}
