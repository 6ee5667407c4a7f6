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

/// Decides when this instance appends a checkpoint. Any instance may; each
/// waits a random while, and leaves it when another's has come.
class checkpoint_policy
{
public:
  /// The seed tells instances apart.
  checkpoint_policy(checkpoint_options aOptions, std::uint64_t aSeed);

  /// Takes note of checkpoints in the log.
  void OnEntry(log_entry const& aEntry);

  /// The state came from a checkpoint that covers all up to an offset.
  void OnJump(log_offset aCovers);

  /// True when a checkpoint should be appended now.
  bool IsDue(instant aNow, log_offset aApplied, log_range aRange);

private:
  [[nodiscard]] bool IsNeeded(instant aNow,
                              log_offset aApplied,
                              log_range aRange) const;
  [[nodiscard]] bool IsLeavingRetention(log_range aRange) const;
  instant RandomlyAfter(instant aNow);

  checkpoint_options mOptions;
  std::mt19937_64 mRandom;
  /// The newest checkpoint seen: what it covers and where it stands.
  log_offset mCovers;
  log_offset mPlace;
  bool mIsNew = true;
  instant mSeenAt{};
  std::optional<instant> mDueAt;
};

}
