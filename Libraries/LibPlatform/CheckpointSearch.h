#pragma once

#include <LibPlatform/LogRange.h>
#include <LibRecords/LogEntry.h>

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace lycheeseam {

/// Looks for the newest checkpoint, from near the tail back to the earliest
/// record in growing windows, so that a start costs little however long the
/// log is.
class checkpoint_search
{
public:
  /// Begins in a log of that range, with a first window in offsets.
  checkpoint_search(log_range aRange, std::uint64_t aWindow);

  /// Where to read next, or nothing when this window is done.
  [[nodiscard]] std::optional<log_offset> Next() const;

  /// Takes the entries read from Next on.
  void Add(std::span<log_entry const> aEntries);

  /// The best checkpoint found; null when there is none.
  [[nodiscard]] checkpoint const* Best() const;

  /// Leaves out the best one, which could not be loaded.
  void RefuseBest();

  /// Goes on with a larger window; false when the whole log was searched.
  bool Widen();

  /// True when the log still has its first record.
  [[nodiscard]] bool HasWholeLog() const noexcept
  {
    return mRange.mEarliest == log_offset{ 1 };
  }

private:
  void Begin();
  void AddCheckpoint(checkpoint const& aCheckpoint);

  log_range mRange;
  std::uint64_t mWindow;
  log_offset mFrom;
  log_offset mNext;
  // Beyond this offset an earlier window has been.
  log_offset mEnd;
  // Those found in the windows so far; the last one covers most.
  std::vector<checkpoint> mFound;
};

}
