#include <LibLimits/SlotTakeover.h>

#include <xxhash.h>

#include <algorithm>
#include <string>
#include <utility>

namespace lycheeseam {

namespace {

std::uint64_t
Preference(slot_id aSlot, instance_id const& aCandidate)
{
  std::string const& text = aCandidate.Text();
  return XXH3_64bits_withSeed(text.data(), text.size(), aSlot.Value());
}

std::size_t
SlotsHeld(instance_id const& aInstance, slot_fold const& aSlots)
{
  std::size_t held = 0;
  for (auto const& [slot, holder] : aSlots.Holders())
    held += holder.mInstance == aInstance ? 1 : 0;
  return held;
}

}

slot_takeover::slot_takeover(instance_identity aSelf, takeover_timing aTiming)
  : mSelf(std::move(aSelf))
  , mTiming(aTiming)
{
}

void
slot_takeover::OnInstanceList(instant aNow, std::span<instance_id const> aLive)
{
  if (!mHasList)
    mStartedAt = aNow;
  mHasList = true;
  mLive = { aLive.begin(), aLive.end() };
  for (instance_id const& live : mLive)
    mMissingSince.erase(live);
}

std::vector<slot_claim>
slot_takeover::DueClaims(instant aNow,
                         slot_fold const& aSlots,
                         log_offset aTail)
{
  std::vector<slot_claim> claims;
  if (!mHasList)
    return claims;
  for (auto const& [slot, holder] : aSlots.Holders()) {
    if (!mLive.contains(holder.mInstance))
      mMissingSince.try_emplace(holder.mInstance, aNow);
  }
  for (std::uint64_t i = 1; i <= aSlots.Layout().mSlots; ++i) {
    slot_id const slot{ i };
    auto const claimedAt = mClaimedAt.find(slot);
    bool const isPending = claimedAt != mClaimedAt.end() &&
                           aNow < claimedAt->second + mTiming.mClaimRetryDelay;
    if (isPending || !MayClaim(aNow, slot, aSlots))
      continue;
    slot_holder const* const holder = aSlots.Find(slot);
    mClaimedAt[slot] = aNow;
    claims.push_back(MakeClaim(
      slot, holder == nullptr ? log_offset{} : holder->mClaim, aTail));
  }
  return claims;
}

bool
slot_takeover::MayClaim(instant aNow,
                        slot_id aSlot,
                        slot_fold const& aSlots) const
{
  duration const rankDelay =
    static_cast<int>(Rank(aSlot, aSlots)) * mTiming.mRankDelay;
  slot_holder const* const holder = aSlots.Find(aSlot);
  if (holder == nullptr)
    return aNow >=
           mStartedAt + mTiming.mFirstClaimDelay + rankDelay +
             static_cast<int>(ClaimedSlots(aSlots)) * mTiming.mNextClaimDelay;
  // An earlier incarnation of this instance no longer runs. Its number may be
  // higher, as it comes from the time of day.
  if (holder->mInstance == mSelf.mInstance)
    return holder->mIncarnation != mSelf.mIncarnation;
  auto const missingSince = mMissingSince.find(holder->mInstance);
  if (missingSince == mMissingSince.end())
    return MayRebalance(aNow - rankDelay, holder->mInstance, aSlots);
  return aNow >= missingSince->second + mTiming.mMissingDelay + rankDelay;
}

bool
slot_takeover::MayRebalance(instant aNow,
                            instance_id const& aHolder,
                            slot_fold const& aSlots) const
{
  if (aNow < mStartedAt + mTiming.mRebalanceDelay)
    return false;
  // One claim at a time: a pending claim may still gain a slot.
  for (auto const& [slot, claimedAt] : mClaimedAt) {
    if (aNow < claimedAt + mTiming.mRebalanceDelay)
      return false;
  }
  return SlotsHeld(mSelf.mInstance, aSlots) == 0 &&
         SlotsHeld(aHolder, aSlots) >= 2;
}

std::size_t
slot_takeover::ClaimedSlots(slot_fold const& aSlots) const
{
  return SlotsHeld(mSelf.mInstance, aSlots) +
         std::ranges::count_if(mClaimedAt, [&aSlots](auto const& aEntry) {
           return aSlots.Find(aEntry.first) == nullptr;
         });
}

std::size_t
slot_takeover::Rank(slot_id aSlot, slot_fold const& aSlots) const
{
  std::size_t const ownSlots = SlotsHeld(mSelf.mInstance, aSlots);
  std::uint64_t const ownPreference = Preference(aSlot, mSelf.mInstance);
  std::size_t rank = 0;
  for (instance_id const& other : mLive) {
    if (other == mSelf.mInstance)
      continue;
    std::size_t const slots = SlotsHeld(other, aSlots);
    bool const isBefore =
      slots < ownSlots ||
      (slots == ownSlots && Preference(aSlot, other) > ownPreference);
    rank += isBefore ? 1 : 0;
  }
  return rank;
}

slot_claim
slot_takeover::MakeClaim(slot_id aSlot, log_offset aBase, log_offset aTail)
{
  ++mClaimCount;
  std::string const name = "slot-" + mSelf.mInstance.Text() + "-" +
                           std::to_string(mSelf.mIncarnation.Value()) + "-" +
                           std::to_string(mClaimCount);
  return { .mOrigin = { .mProposal = proposal_id{ name },
                        .mInstance = mSelf.mInstance,
                        .mIncarnation = mSelf.mIncarnation,
                        .mLastOffset =
                          log_offset{ aTail.Value() + mTiming.mClaimWindow } },
           .mSlot = aSlot,
           .mBase = aBase };
}

}
