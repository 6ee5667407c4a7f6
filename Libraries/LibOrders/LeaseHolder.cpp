#include <LibOrders/LeaseHolder.h>

#include <string>
#include <utility>

namespace lycheeseam {

lease_holder::lease_holder(instance_identity aSelf,
                           pool_name aPool,
                           lease_timing aTiming)
  : mSelf(std::move(aSelf))
  , mPool(std::move(aPool))
  , mTiming(aTiming)
{
}

void
lease_holder::OnLease(instant aNow, lease_fold const& aLeases)
{
  lease const* const current = aLeases.Find(mPool);
  bool const isNew =
    current != nullptr && (!mLease || mLease->mGrant != current->mGrant);
  if (!mHasRead || isNew)
    mReadAt = aNow;
  mHasRead = true;
  if (!isNew)
    return;
  mLease = *current;
  mAppendedAt.reset();
}

std::optional<lease_grant>
lease_holder::Due(instant aNow,
                  fencing_support aFencing,
                  std::uint32_t aRank,
                  log_offset aTail)
{
  bool const isAppendPending =
    mAppendedAt && aNow < *mAppendedAt + mTiming.mAppendPause;
  if (!mHasRead || isAppendPending || aNow < NextGrantAt(aFencing, aRank))
    return std::nullopt;
  mAppendedAt = aNow;
  ++mGrants;
  std::string const name =
    "lease-" + mPool.Text() + "-" + mSelf.mInstance.Text() + "-" +
    std::to_string(mSelf.mIncarnation.Value()) + "-" + std::to_string(mGrants);
  proposal_id const proposal{ name };
  // A grant that lands after its term gives no right to order, so the time at
  // which it was sent is no longer needed.
  std::erase_if(mSentAt, [&](auto const& aEntry) {
    return aNow >= aEntry.second + mTiming.mTerm;
  });
  mSentAt[proposal] = aNow;
  log_offset const last{ aTail.Value() + mTiming.mGrantOffsets };
  return lease_grant{ .mOrigin = { .mProposal = proposal,
                                   .mInstance = mSelf.mInstance,
                                   .mIncarnation = mSelf.mIncarnation,
                                   .mLastOffset = last },
                      .mPool = mPool,
                      .mBase = mLease ? mLease->mGrant : log_offset{},
                      .mTerm = mTiming.mTerm };
}

std::optional<fencing_number>
lease_holder::MayOrder(instant aNow) const
{
  if (!IsOwn())
    return std::nullopt;
  instant const end = mSentAt.at(mLease->mProposal) + mLease->mTerm;
  if (aNow >= end - mTiming.mMargin)
    return std::nullopt;
  return fencing_number{ mLease->mGrant.Value() };
}

bool
lease_holder::IsOwn() const
{
  return mLease && mLease->mHolder == mSelf &&
         mSentAt.contains(mLease->mProposal);
}

instant
lease_holder::NextGrantAt(fencing_support aFencing, std::uint32_t aRank) const
{
  duration const rankDelay = aRank * mTiming.mRankDelay;
  if (!mLease)
    return mReadAt + rankDelay;
  if (IsOwn())
    return mSentAt.at(mLease->mProposal) + mLease->mTerm / 2;
  int const terms = aFencing == fencing_support::Checked ? 1 : 2;
  return mReadAt + terms * mLease->mTerm + rankDelay;
}

}
