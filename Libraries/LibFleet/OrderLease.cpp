#include <LibFleet/OrderLease.h>

#include <algorithm>
#include <utility>

namespace lycheeseam {

namespace {

// The time that an order may take to arrive, which must lie within the term.
constexpr duration kDeliveryMargin = std::chrono::milliseconds{ 400 };

// The store turns single instances away for seconds. While it does, another
// instance may reach it.
constexpr duration kRefusedTime = std::chrono::seconds{ 1 };

}

order_lease::order_lease(instance_id aSelf, duration aTerm)
  : mSelf(std::move(aSelf))
  , mTerm(aTerm)
{
}

void
order_lease::OnRead(instant aNow,
                    std::optional<lease_record> const& aNewest,
                    store_position aEnd)
{
  OnStoreEra(aNow, aEnd.Era());
  mTopicEnd = aEnd;
  mIsOtherNewest = aNewest && aNewest->mHolder != mSelf;
  if (mIsOtherNewest)
    RecordOther(aNow, aNewest->mNumber);
  // A record of this instance whose answer was lost, or that an earlier
  // incarnation wrote, isn't used: a new one is appended after it.
  mHeldNumber.reset();
  mNotBefore = aNow;
}

void
order_lease::OnAppended(store_position aPosition)
{
  // Records that the read before showed may be gone since.
  if (mTopicEnd && aPosition.Era() != mTopicEnd->Era())
    return Invalidate();
  bool const isTakeover = !mHeldNumber && mIsOtherNewest;
  mHeldNumber = aPosition.Number();
  mRefusedSince.reset();
  mTopicEnd = aPosition.Plus(1);
  mHeldSince = mSentAt;
  if (isTakeover)
    mNotBefore = mOtherSince + mTerm;
  mIsOtherNewest = false;
  mHasConflict = false;
}

void
order_lease::OnConflict()
{
  Invalidate();
  mHasConflict = true;
}

bool
order_lease::IsLeftToOther(instant aNow) const
{
  return mHasConflict && mIsOtherNewest && aNow < mOtherSince + mTerm;
}

void
order_lease::OnStoreEra(instant aNow, store_era aEra)
{
  bool const isRestored = mEra && aEra > *mEra;
  mEra = std::max(mEra.value_or(aEra), aEra);
  if (!isRestored)
    return;
  Invalidate();
  mRestoredTermEnd = aNow + mTerm;
}

void
order_lease::Invalidate()
{
  mHeldNumber.reset();
  mRefusedSince.reset();
  mTopicEnd.reset();
}

bool
order_lease::IsLost(instant aNow) const
{
  return mHeldNumber && mRefusedSince && aNow - *mRefusedSince > kRefusedTime &&
         !FencingNumber(aNow);
}

void
order_lease::RecordOther(instant aNow, std::uint64_t aNumber)
{
  if (mOtherNumber && *mOtherNumber >= aNumber)
    return;
  mOtherNumber = aNumber;
  mOtherSince = aNow;
}

void
order_lease::OnPeerLease(instant aNow, std::uint64_t aNumber)
{
  RecordOther(aNow, aNumber);
  // From now on the link to the holder shows when it ends.
  mHasConflict = false;
  if (aNumber > mHeldNumber.value_or(0))
    Invalidate();
}

bool
order_lease::IsRenewalDue(instant aNow) const
{
  return mHeldNumber && aNow - mHeldSince > mTerm / 2;
}

std::optional<std::uint64_t>
order_lease::FencingNumber(instant aNow) const
{
  bool const isInTerm = aNow - mHeldSince < mTerm - kDeliveryMargin;
  if (!mHeldNumber || !isInTerm || aNow < mNotBefore || aNow < mRestoredTermEnd)
    return std::nullopt;
  return mHeldNumber;
}

}
