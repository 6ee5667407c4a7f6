#include <LibLimits/LendingQuorum.h>

#include <algorithm>
#include <functional>
#include <vector>

namespace lycheeseam {

lending_quorum::lending_quorum(slot_layout aLayout, budget_timing aTiming)
  : mLayout(aLayout)
  , mTiming(aTiming)
{
}

void
lending_quorum::OnTailRead(instant aReadAt)
{
  mEverRead = true;
  mReadUntil = std::max(mReadUntil, aReadAt + mTiming.mConfirmBound);
  // Contact that began only after the read proves nothing about the time
  // before it: former silence may by then have been testified to.
  mIsChained = mContactSince <= aReadAt && aReadAt <= mContactUntil;
}

void
lending_quorum::OnOwnSlots(std::span<slot_id const> aSlots)
{
  mOwnSlots = { aSlots.begin(), aSlots.end() };
}

void
lending_quorum::OnWord(instant aNow, quorum_answer const& aWord)
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

lending_state
lending_quorum::At(instant aNow) const
{
  // Without a vote of the slots held here no majority can form elsewhere.
  bool const isMajority = mOwnSlots.size() >= Majority();
  bool const isInTouch = mIsChained && aNow <= mContactUntil;
  bool const holds =
    mEverRead && (isMajority || isInTouch || aNow <= mReadUntil);
  return holds ? lending_state::Granted : lending_state::Withheld;
}

std::size_t
lending_quorum::Majority() const
{
  return mLayout.mSlots / 2 + 1;
}

instant
lending_quorum::MajorityContactAt() const
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
