#include <LibLimits/HomeStanding.h>

#include <algorithm>
#include <functional>
#include <vector>

namespace lycheeseam {

home_standing::home_standing(slot_layout aLayout, budget_timing aTiming)
  : mLayout(aLayout)
  , mTiming(aTiming)
{
}

void
home_standing::OnTailRead(instant aReadAt)
{
  mEverRead = true;
  mHoldsUntil = std::max(mHoldsUntil, aReadAt + mTiming.mConfirmBound);
}

void
home_standing::OnOwnSlots(std::span<slot_id const> aSlots)
{
  mOwnSlots = { aSlots.begin(), aSlots.end() };
}

void
home_standing::OnWord(instant aNow, standing_word const& aWord)
{
  for (slot_id const slot : aWord.mSlots) {
    instant& contact = mContacts[slot];
    contact = std::max(contact, aWord.mProbeSentAt);
  }
  // A contact that comes after the permission ran out doesn't mend the break:
  // a slot may have been claimed anew in between, and only the log can tell.
  if (aNow > mHoldsUntil)
    return;
  instant const contactUntil = MajorityContactAt() + mTiming.mConfirmBound;
  mHoldsUntil = std::max(mHoldsUntil, contactUntil);
}

giving_permission
home_standing::At(instant aNow) const
{
  // Without a vote of the slots held here no majority can form elsewhere.
  bool const isMajority = mOwnSlots.size() >= Majority();
  bool const holds = mEverRead && (isMajority || aNow <= mHoldsUntil);
  return holds ? giving_permission::Granted : giving_permission::Withheld;
}

std::size_t
home_standing::Majority() const
{
  return mLayout.mSlots / 2 + 1;
}

instant
home_standing::MajorityContactAt() const
{
  // Own slots are always in touch; the others must make up the rest.
  if (mOwnSlots.size() >= Majority())
    return mHoldsUntil;
  std::size_t const others = Majority() - mOwnSlots.size();
  std::vector<instant> contacts;
  for (auto const& [slot, contact] : mContacts) {
    if (!mOwnSlots.contains(slot))
      contacts.push_back(contact);
  }
  if (contacts.size() < others)
    return {};
  std::sort(contacts.begin(), contacts.end(), std::greater<>{});
  return contacts[others - 1];
}

}
