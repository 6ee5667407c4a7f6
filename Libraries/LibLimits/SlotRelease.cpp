#include <LibLimits/SlotRelease.h>

#include <algorithm>
#include <set>
#include <utility>

namespace lycheeseam {

slot_release::slot_release(instance_identity aSelf, budget_timing aTiming)
  : mSelf(std::move(aSelf))
  , mTiming(aTiming)
{
}

void
slot_release::OnSlots(instant aNow, slot_fold const& aSlots)
{
  mSlots = aSlots.Layout().mSlots;
  for (auto const& [slot, holder] : aSlots.Holders()) {
    bool const isOwn = holder.mInstance == mSelf.mInstance &&
                       holder.mIncarnation == mSelf.mIncarnation;
    if (!isOwn) {
      mPending.erase(slot);
      continue;
    }
    log_offset& seen = mSeen[slot];
    if (seen == holder.mClaim)
      continue;
    seen = holder.mClaim;
    mPending[slot] = { .mClaim = holder.mClaim,
                       .mReadAt = aNow,
                       .mFormer = holder.mFormer };
  }
}

void
slot_release::OnWord(quorum_answer const& aWord)
{
  quorum_answer& last = mWords[aWord.mFrom.mInstance];
  if (aWord.mProbeSentAt >= last.mProbeSentAt)
    last = aWord;
}

std::vector<slot_id>
slot_release::TakeReleased(instant aNow)
{
  std::vector<slot_id> released;
  for (auto const& entry : mPending) {
    auto const isLetGo = [&](instance_id const& aFormer) {
      return IsLetGo(aNow, entry.second, aFormer);
    };
    if (std::ranges::all_of(entry.second.mFormer, isLetGo))
      released.push_back(entry.first);
  }
  for (slot_id const slot : released)
    mPending.erase(slot);
  return released;
}

bool
slot_release::IsLetGo(instant aNow,
                      pending_slot const& aPending,
                      instance_id const& aFormer) const
{
  // This process runs in place of its own earlier lives.
  if (aFormer == mSelf.mInstance)
    return true;
  auto const word = mWords.find(aFormer);
  if (word != mWords.end() && word->second.mFolded >= aPending.mClaim)
    return true;
  return IsSilent(aNow, aPending, aFormer);
}

bool
slot_release::IsSilent(instant aNow,
                       pending_slot const& aPending,
                       instance_id const& aFormer) const
{
  std::set<slot_id> votes;
  for (auto const& [peer, word] : mWords) {
    bool const isFresh = word.mProbeSentAt >= aPending.mReadAt &&
                         aNow <= word.mProbeSentAt + mTiming.mWordBound;
    if (isFresh && std::ranges::count(word.mSilent, aFormer) > 0)
      votes.insert(word.mSlots.begin(), word.mSlots.end());
  }
  return votes.size() > mSlots / 2;
}

}
