#include <LibPlatform/CheckpointPolicy.h>

#include <algorithm>
#include <variant>

namespace lycheeseam {

namespace {

/// A checkpoint in the oldest part of the log is soon forgotten: the part is
/// one in so many.
constexpr std::uint64_t kOldestPart = 3;

}

checkpoint_policy::checkpoint_policy(checkpoint_options aOptions,
                                     std::uint64_t aSeed)
  : mOptions(aOptions)
  , mRandom(aSeed)
{
}

void
checkpoint_policy::OnEntry(log_entry const& aEntry)
{
  checkpoint const* const found = std::get_if<checkpoint>(&aEntry.mRecord);
  if (!found || found->mCovers < mCovers)
    return;
  mCovers = found->mCovers;
  mPlace = aEntry.mOffset;
  mIsNew = true;
}

void
checkpoint_policy::OnJump(log_offset aCovers)
{
  mCovers = std::max(mCovers, aCovers);
  // Its place is somewhere behind; the earliest it can be is on the safe side.
  mPlace = mCovers.Next();
  mIsNew = true;
}

bool
checkpoint_policy::IsDue(instant aNow, log_offset aApplied, log_range aRange)
{
  if (mIsNew) {
    mIsNew = false;
    mSeenAt = aNow;
    mDueAt.reset();
  }
  if (!IsNeeded(aNow, aApplied, aRange)) {
    mDueAt.reset();
    return false;
  }
  if (!mDueAt)
    mDueAt = RandomlyAfter(aNow);
  if (aNow < *mDueAt)
    return false;
  // Until this one is seen in the log, another is tried a full spread later.
  mDueAt = RandomlyAfter(aNow + mOptions.mSpread);
  return true;
}

bool
checkpoint_policy::IsNeeded(instant aNow,
                            log_offset aApplied,
                            log_range aRange) const
{
  if (aApplied == log_offset{})
    return false;
  if (aApplied.Value() > mCovers.Value() + mOptions.mInterval)
    return true;
  return aNow - mSeenAt > mOptions.mLongestAge || IsLeavingRetention(aRange);
}

bool
checkpoint_policy::IsLeavingRetention(log_range aRange) const
{
  if (aRange.mEarliest <= log_offset{ 1 })
    return false;
  std::uint64_t const earliest = aRange.mEarliest.Value();
  std::uint64_t const tail = std::max(aRange.mTail.Value(), earliest);
  // The records after what it covers have to stay too.
  std::uint64_t const oldest = std::min(mCovers.Value(), mPlace.Value());
  return oldest < earliest + (tail - earliest) / kOldestPart;
}

instant
checkpoint_policy::RandomlyAfter(instant aNow)
{
  std::uniform_int_distribution<std::int64_t> distribution{
    0, mOptions.mSpread.count()
  };
  return aNow + std::chrono::milliseconds{ distribution(mRandom) };
}

}
