#include <LibPlatform/CheckpointSearch.h>

#include <algorithm>
#include <variant>

namespace lycheeseam {

namespace {

/// The factor by which each window is larger than the one before.
constexpr std::uint64_t kWindowGrowth = 4;

}

checkpoint_search::checkpoint_search(log_range aRange, std::uint64_t aWindow)
  : mRange(aRange)
  , mWindow(aWindow)
  , mEnd(aRange.mTail)
{
  Begin();
}

std::optional<log_offset>
checkpoint_search::Next() const
{
  if (mNext > mEnd)
    return std::nullopt;
  return mNext;
}

void
checkpoint_search::Add(std::span<log_entry const> aEntries)
{
  for (log_entry const& entry : aEntries) {
    if (checkpoint const* found = std::get_if<checkpoint>(&entry.mRecord))
      AddCheckpoint(*found);
    mNext = entry.mOffset.Next();
  }
}

checkpoint const*
checkpoint_search::Best() const
{
  return mFound.empty() ? nullptr : &mFound.back();
}

void
checkpoint_search::DiscardBest()
{
  mFound.pop_back();
}

bool
checkpoint_search::Widen()
{
  if (mFrom <= mRange.mEarliest)
    return false;
  mEnd = log_offset{ mFrom.Value() - 1 };
  mWindow *= kWindowGrowth;
  Begin();
  return true;
}

void
checkpoint_search::Begin()
{
  std::uint64_t const tail = mRange.mTail.Value();
  std::uint64_t const start = tail > mWindow ? tail - mWindow : 1;
  mFrom = std::max(log_offset{ start }, mRange.mEarliest);
  mNext = mFrom;
}

void
checkpoint_search::AddCheckpoint(checkpoint const& aCheckpoint)
{
  // The records after the covered offset must still be in the log.
  if (aCheckpoint.mCovers.Next() < mRange.mEarliest)
    return;
  // A checkpoint appended late may cover less than one before it in the log, so
  // the list is sorted by covered offset.
  auto const position = std::ranges::upper_bound(
    mFound, aCheckpoint.mCovers, {}, &checkpoint::mCovers);
  mFound.insert(position, aCheckpoint);
}

}
