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
  mHasRead = true;
  mReadValidUntil = std::max(mReadValidUntil, aReadAt + mTiming.mConfirmBound);
  // Contact that began only after the read proves nothing about the time before
  // it: peers may already have reported this instance unresponsive.
  mIsContactUnbroken = mContactSince <= aReadAt && aReadAt <= mContactUntil;
}

void
lending_quorum::OnOwnSlots(std::span<slot_id const> aSlots)
{
  mOwnSlots = { aSlots.begin(), aSlots.end() };
}

void
lending_quorum::OnQuorumAnswer(instant aNow, quorum_answer const& aAnswer)
{
  for (slot_id const slot : aAnswer.mSlots) {
    instant& contact = mContacts[slot];
    contact = std::max(contact, aAnswer.mProbeSentAt);
  }
  instant const contactAt = MajorityContactAt();
  bool const isBroken = aNow > mContactUntil;
  if (isBroken) {
    // Another instance may have claimed and opened a slot during the break;
    // only a read of the log can rule that out.
    mIsContactUnbroken = false;
    mContactSince = aNow;
  }
  mContactUntil = std::max(mContactUntil, contactAt + mTiming.mConfirmBound);
}

lending_state
lending_quorum::StateAt(instant aNow) const
{
  // While this instance holds a majority of the slots, no majority can form
  // without it.
  bool const isMajority = mOwnSlots.size() >= Majority();
  bool const hasContact = mIsContactUnbroken && aNow <= mContactUntil;
  bool const mayLend =
    mHasRead && (isMajority || hasContact || aNow <= mReadValidUntil);
  return mayLend ? lending_state::Granted : lending_state::Withheld;
}

std::size_t
lending_quorum::Majority() const
{
  return mLayout.mSlots / 2 + 1;
}

instant
lending_quorum::MajorityContactAt() const
{
  // Slots held here always count; others must make up the rest of a majority.
  // An instance that holds a majority itself needs no contact, see StateAt.
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
