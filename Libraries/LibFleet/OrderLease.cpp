#include <LibFleet/OrderLease.h>

#include <utility>

namespace lycheeseam {

namespace {

// What an order may need on its way, so that it arrives within the lease.
constexpr duration kMargin = std::chrono::milliseconds{ 400 };

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
  mEnd = aEnd;
  mFollowsOther = aNewest && aNewest->mHolder != mSelf;
  if (mFollowsOther)
    NoteOther(aNow, aNewest->mOffset);
  // An own record whose answer was lost, or of an earlier life, is taken up by
  // a new one behind it.
  mHeld.reset();
  mNotBefore = aNow;
}

void
order_lease::OnAppended(std::uint64_t aOffset)
{
  bool const isTakeover = !mHeld && mFollowsOther;
  mHeld = aOffset;
  mEnd = aOffset + 1;
  mHeldFrom = mSentAt;
  if (isTakeover)
    mNotBefore = mOtherSince + mTerm;
  mFollowsOther = false;
}

void
order_lease::OnUncertain()
{
  mHeld.reset();
  mEnd.reset();
}

void
order_lease::NoteOther(instant aNow, std::uint64_t aOffset)
{
  if (mOther && *mOther >= aOffset)
    return;
  mOther = aOffset;
  mOtherSince = aNow;
}

void
order_lease::OnPeerLease(instant aNow, std::uint64_t aOffset)
{
  NoteOther(aNow, aOffset);
  if (aOffset > mHeld.value_or(0))
    OnUncertain();
}

bool
order_lease::IsRenewalDue(instant aNow) const
{
  return mHeld && aNow - mHeldFrom > mTerm / 2;
}

std::optional<std::uint64_t>
order_lease::MayOrder(instant aNow) const
{
  bool const isInTerm = aNow - mHeldFrom < mTerm - kMargin;
  if (!mHeld || !isInTerm || aNow < mNotBefore)
    return std::nullopt;
  return mHeld;
}

}
