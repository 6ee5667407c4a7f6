#include <LibFleet/OrderLease.h>

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
                    std::uint64_t aEnd)
{
  mTopicEnd = aEnd;
  mIsOtherNewest = aNewest && aNewest->mHolder != mSelf;
  if (mIsOtherNewest)
    RecordOther(aNow, aNewest->mOffset);
  // A record of this instance whose answer was lost, or that an earlier
  // incarnation wrote, isn't used: a new one is appended after it.
  mHeldOffset.reset();
  mNotBefore = aNow;
}

void
order_lease::OnAppended(std::uint64_t aOffset)
{
  bool const isTakeover = !mHeldOffset && mIsOtherNewest;
  mHeldOffset = aOffset;
  mRefusedSince.reset();
  mTopicEnd = aOffset + 1;
  mHeldSince = mSentAt;
  if (isTakeover)
    mNotBefore = mOtherSince + mTerm;
  mIsOtherNewest = false;
}

void
order_lease::Invalidate()
{
  mHeldOffset.reset();
  mRefusedSince.reset();
  mTopicEnd.reset();
}

bool
order_lease::IsLost(instant aNow) const
{
  return mHeldOffset && mRefusedSince && aNow - *mRefusedSince > kRefusedTime &&
         !FencingNumber(aNow);
}

void
order_lease::RecordOther(instant aNow, std::uint64_t aOffset)
{
  if (mOtherOffset && *mOtherOffset >= aOffset)
    return;
  mOtherOffset = aOffset;
  mOtherSince = aNow;
}

void
order_lease::OnPeerLease(instant aNow, std::uint64_t aOffset)
{
  RecordOther(aNow, aOffset);
  if (aOffset > mHeldOffset.value_or(0))
    Invalidate();
}

bool
order_lease::IsRenewalDue(instant aNow) const
{
  return mHeldOffset && aNow - mHeldSince > mTerm / 2;
}

std::optional<std::uint64_t>
order_lease::FencingNumber(instant aNow) const
{
  bool const isInTerm = aNow - mHeldSince < mTerm - kDeliveryMargin;
  if (!mHeldOffset || !isInTerm || aNow < mNotBefore)
    return std::nullopt;
  return mHeldOffset;
}

}
