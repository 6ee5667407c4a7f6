#include <LibPlatform/CheckpointPolicy.h>

#include <algorithm>
#include <variant>

namespace lycheeseam {

namespace {

/// A checkpoint in the oldest 1/3 of the retained log counts as about to be
/// dropped by retention.
constexpr std::uint64_t kOldestShareDivisor = 3;

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
  mRecordOffset = aEntry.mOffset;
  mIsNew = true;
}

void
checkpoint_policy::OnJump(log_offset aCovers)
{
  mCovers = std::max(mCovers, aCovers);
  // The checkpoint's own offset is unknown but higher than what it covers. The
  // lowest possible one is assumed, so that retention doesn't drop it
  // unnoticed.
  mRecordOffset = mCovers.Next();
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
    mDueAt = AddJitter(aNow);
  if (aNow < *mDueAt)
    return false;
  // If this checkpoint doesn't appear in the log, the next attempt follows at
  // least mSpread later.
  mDueAt = AddJitter(aNow + mOptions.mSpread);
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
  // The records after the covered offset have to be retained too.
  std::uint64_t const oldest = std::min(mCovers.Value(), mRecordOffset.Value());
  return oldest < earliest + (tail - earliest) / kOldestShareDivisor;
}

instant
checkpoint_policy::AddJitter(instant aNow)
{
  std::uniform_int_distribution<std::int64_t> distribution{
    0, mOptions.mSpread.count()
  };
  return aNow + std::chrono::milliseconds{ distribution(mRandom) };
}

}
