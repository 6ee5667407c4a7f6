#include "VirtualFleet.h"

namespace lycheeseam {

using std::chrono::milliseconds;

void
virtual_fleet::Crash(std::size_t aMember, duration aDowntime, bool aRenamed)
{
  member& crashed = mMembers[aMember];
  if (!crashed.mIsUp)
    return;
  crashed.mIsUp = false;
  crashed.mBudget.reset();
  if (aRenamed) {
    std::string const name = crashed.mIdentity.mInstance.Text() + "x";
    crashed.mIdentity.mInstance = instance_id{ name };
  }
  At(mNow + aDowntime, [this, aMember]() { Start(aMember); });
}

void
virtual_fleet::Pause(std::size_t aMember, duration aSpan)
{
  mMembers[aMember].mPausedUntil = mNow + aSpan;
}

void
virtual_fleet::Partition(std::set<std::size_t> const& aGroup,
                         duration aSpan,
                         bool aLosesPlatform)
{
  for (std::size_t const i : aGroup) {
    mMembers[i].mPartitionedUntil = mNow + aSpan;
    mMembers[i].mPartition = aGroup;
    mMembers[i].mLosesPlatform = aLosesPlatform;
  }
}

void
virtual_fleet::HideFromList(std::size_t aMember, duration aSpan)
{
  mMembers[aMember].mHiddenUntil = mNow + aSpan;
}

void
virtual_fleet::ChangeLimits(token_count aRate, token_count aBurst)
{
  if (mNow < mLogOutageUntil)
    return;
  workspace_row const old = mLimits;
  mLimits.mRate = aRate;
  mLimits.mBurst = aBurst;
  entry changed{ .mRecord = { .mOffset = log_offset{ mLog.size() + 1 },
                              .mRecord = no_operation{} },
                 .mLimits = mLimits };
  mLog.push_back(changed);
  // Until every holder has read the change, the larger of both limits applies.
  mReference.SetLimits(mNow,
                       static_cast<double>(std::max(old.mRate, aRate)),
                       static_cast<double>(std::max(old.mBurst, aBurst)));
  ApplyLimitsOnceInForce(mLog.size());
}

void
virtual_fleet::ApplyLimitsOnceInForce(std::size_t aEntries)
{
  auto const mayLendByOldLimits = [&](member const& aMember) {
    return aMember.mIsUp && aMember.mNextEntry < aEntries &&
           aMember.mBudget->Lending(LocalNow(aMember)) ==
             lending_state::Granted;
  };
  if (std::ranges::any_of(mMembers, mayLendByOldLimits)) {
    At(mNow + milliseconds{ 100 },
       [this, aEntries]() { ApplyLimitsOnceInForce(aEntries); });
    return;
  }
  workspace_row const now = mLimits;
  At(mNow + mOptions.mTiming.mBorrowerLoanExpiry, [this, now]() {
    if (now == mLimits)
      mReference.SetLimits(
        mNow, static_cast<double>(now.mRate), static_cast<double>(now.mBurst));
  });
}

}
