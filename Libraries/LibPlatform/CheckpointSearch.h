#pragma once

#include <LibPlatform/LogRange.h>
#include <LibRecords/LogEntry.h>

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace lycheeseam {

/// Searches the log for the newest checkpoint, from the tail back to the
/// earliest record in windows of growing size, so that a start reads few
/// records however long the log is.
class checkpoint_search
{
public:
  /// Starts with the window of the newest offsets; aWindow is its size in
  /// offsets.
  checkpoint_search(log_range aRange, std::uint64_t aWindow);

  /// The offset to read next; nothing when the window has been read.
  [[nodiscard]] std::optional<log_offset> Next() const;

  /// Adds the entries read from the offset Next() on.
  void Add(std::span<log_entry const> aEntries);

  /// The checkpoint found that covers most; null when there is none.
  [[nodiscard]] checkpoint const* Best() const;

  /// Discards the best checkpoint after it failed to load.
  void DiscardBest();

  /// Continues with a larger window of older records; false when the search has
  /// reached the earliest record.
  bool Widen();

  /// True when the log still has its first record.
  [[nodiscard]] bool HasCompleteLog() const noexcept
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
  // The window's last offset; the previous windows covered those beyond it.
  log_offset mEnd;
  // The checkpoints found so far, by covered offset; the last covers most.
  std::vector<checkpoint> mFound;
};

}
