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
    log_offset& known = mKnownClaims[slot];
    if (known == holder.mClaim)
      continue;
    known = holder.mClaim;
    mPending[slot] = { .mClaim = holder.mClaim,
                       .mReadAt = aNow,
                       .mFormerHolders = holder.mFormerHolders };
  }
}

void
slot_release::OnQuorumAnswer(quorum_answer const& aAnswer)
{
  quorum_answer& last = mQuorumAnswers[aAnswer.mFrom.mInstance];
  if (aAnswer.mProbeSentAt >= last.mProbeSentAt)
    last = aAnswer;
}

std::vector<slot_id>
slot_release::TakeReleased(instant aNow)
{
  std::vector<slot_id> released;
  for (auto const& entry : mPending) {
    auto const isReleased = [&](instance_id const& aFormer) {
      return IsReleasedBy(aNow, entry.second, aFormer);
    };
    if (std::ranges::all_of(entry.second.mFormerHolders, isReleased))
      released.push_back(entry.first);
  }
  for (slot_id const slot : released)
    mPending.erase(slot);
  return released;
}

bool
slot_release::IsReleasedBy(instant aNow,
                           pending_slot const& aPending,
                           instance_id const& aFormer) const
{
  // Earlier incarnations of this instance no longer run.
  if (aFormer == mSelf.mInstance)
    return true;
  auto const answer = mQuorumAnswers.find(aFormer);
  if (answer != mQuorumAnswers.end() &&
      answer->second.mFolded >= aPending.mClaim)
    return true;
  return IsReportedUnresponsive(aNow, aPending, aFormer);
}

bool
slot_release::IsReportedUnresponsive(instant aNow,
                                     pending_slot const& aPending,
                                     instance_id const& aFormer) const
{
  std::set<slot_id> votes;
  for (auto const& [peer, answer] : mQuorumAnswers) {
    bool const isFresh = answer.mProbeSentAt >= aPending.mReadAt &&
                         aNow <= answer.mProbeSentAt + mTiming.mAnswerBound;
    if (isFresh && std::ranges::count(answer.mUnresponsive, aFormer) > 0)
      votes.insert(answer.mSlots.begin(), answer.mSlots.end());
  }
  return votes.size() > mSlots / 2;
}

}
