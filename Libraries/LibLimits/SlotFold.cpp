#include <LibLimits/SlotFold.h>
#include <LibRecords/LogFold.h>

#include <utility>

namespace lycheeseam {

static_assert(log_fold<slot_fold>);

namespace {

std::vector<instance_id>
FormerHolders(slot_holder const& aReplaced)
{
  std::vector<instance_id> former = aReplaced.mFormerHolders;
  std::erase(former, aReplaced.mInstance);
  if (former.size() == slot_holder::kMaxFormerHolders)
    former.erase(former.begin());
  former.push_back(aReplaced.mInstance);
  return former;
}

}

void
slot_fold::Apply(log_entry const& aEntry)
{
  slot_claim const* const claim = std::get_if<slot_claim>(&aEntry.mRecord);
  if (claim != nullptr)
    ApplyClaim(aEntry.mOffset, *claim);
}

slot_holder const*
slot_fold::Find(slot_id aSlot) const
{
  auto const found = mHolders.find(aSlot);
  return found == mHolders.end() ? nullptr : &found->second;
}

void
slot_fold::Restore(std::map<slot_id, slot_holder> aHolders)
{
  mHolders = std::move(aHolders);
}

void
slot_fold::ApplyClaim(log_offset aOffset, slot_claim const& aClaim)
{
  if (aOffset > aClaim.mOrigin.mLastOffset)
    return;
  if (aClaim.mSlot.Value() == 0 || aClaim.mSlot.Value() > mLayout.mSlots)
    return;
  slot_holder const* const current = Find(aClaim.mSlot);
  log_offset const currentClaim =
    current == nullptr ? log_offset{} : current->mClaim;
  // Of several claims that replace the same claim, the first in the log wins.
  if (aClaim.mBase != currentClaim)
    return;
  std::vector<instance_id> former;
  if (current != nullptr)
    former = FormerHolders(*current);
  mHolders[aClaim.mSlot] = { .mInstance = aClaim.mOrigin.mInstance,
                             .mIncarnation = aClaim.mOrigin.mIncarnation,
                             .mClaim = aOffset,
                             .mFormerHolders = std::move(former) };
}

}
