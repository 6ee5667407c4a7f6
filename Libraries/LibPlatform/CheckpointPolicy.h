#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Instant.h>
#include <LibPlatform/CheckpointOptions.h>
#include <LibPlatform/LogRange.h>
#include <LibRecords/LogEntry.h>

#include <cstdint>
#include <optional>
#include <random>

namespace lycheeseam {

/// Decides when this instance appends a checkpoint. Any instance may append
/// one; each waits for a random delay and cancels when another instance's
/// checkpoint arrives first.
class checkpoint_policy
{
public:
  /// The seed of the random delays differs between instances.
  checkpoint_policy(checkpoint_options aOptions, std::uint64_t aSeed);

  /// Records the entry if it is a checkpoint.
  void OnEntry(log_entry const& aEntry);

  /// Records that the state was loaded from a checkpoint that covers all
  /// entries up to an offset.
  void OnJump(log_offset aCovers);

  /// True when a checkpoint should be appended now.
  bool IsDue(instant aNow, log_offset aApplied, log_range aRange);

private:
  [[nodiscard]] bool IsNeeded(instant aNow,
                              log_offset aApplied,
                              log_range aRange) const;
  [[nodiscard]] bool IsLeavingRetention(log_range aRange) const;
  instant AddJitter(instant aNow);

  checkpoint_options mOptions;
  std::mt19937_64 mRandom;
  /// The newest checkpoint: the last offset it covers and its own offset.
  log_offset mCovers;
  log_offset mRecordOffset;
  /// True until the next call of IsDue, which passes in the time for mSeenAt.
  bool mIsNew = true;
  instant mSeenAt{};
  std::optional<instant> mDueAt;
};

}
