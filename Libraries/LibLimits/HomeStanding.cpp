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
  mReadUntil = std::max(mReadUntil, aReadAt + mTiming.mConfirmBound);
  // Contact that began only after the read proves nothing about the time
  // before it: former silence may by then have been testified to.
  mIsChained = mContactSince <= aReadAt && aReadAt <= mContactUntil;
}

void
home_standing::OnOwnSlots(std::span<slot_id const> aSlots)
{
  mOwnSlots = { aSlots.begin(), aSlots.end() };
}

void
home_standing::OnWord(instant aNow, quorum_answer const& aWord)
{
  for (slot_id const slot : aWord.mSlots) {
    instant& contact = mContacts[slot];
    contact = std::max(contact, aWord.mProbeSentAt);
  }
  instant const contactAt = MajorityContactAt();
  bool const isBroken = aNow > mContactUntil;
  if (isBroken) {
    // A slot may have been claimed anew in between; only the log can tell.
    mIsChained = false;
    mContactSince = aNow;
  }
  mContactUntil = std::max(mContactUntil, contactAt + mTiming.mConfirmBound);
}

giving_permission
home_standing::At(instant aNow) const
{
  // Without a vote of the slots held here no majority can form elsewhere.
  bool const isMajority = mOwnSlots.size() >= Majority();
  bool const isInTouch = mIsChained && aNow <= mContactUntil;
  bool const holds =
    mEverRead && (isMajority || isInTouch || aNow <= mReadUntil);
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
    return {};
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
