#include <LibLimits/PeerActivity.h>

#include <set>

namespace lycheeseam {

peer_activity::peer_activity(budget_timing aTiming)
  : mTiming(aTiming)
{
}

void
peer_activity::OnTick(instant aNow)
{
  if (!mStarted || aNow > mTickedAt + mTiming.mUnresponsiveAfter / 4)
    mListeningSince = aNow;
  mStarted = true;
  mTickedAt = aNow;
}

void
peer_activity::RecordMessage(instant aNow, instance_id const& aPeer)
{
  mLastMessageAt[aPeer] = aNow;
}

std::vector<instance_id>
peer_activity::Unresponsive(instant aNow, slot_fold const& aSlots) const
{
  bool const hasObserved = mStarted &&
                           aNow <= mTickedAt + mTiming.mUnresponsiveAfter / 4 &&
                           aNow >= mListeningSince + mTiming.mUnresponsiveAfter;
  if (!hasObserved)
    return {};
  std::set<instance_id> candidates;
  for (auto const& [slot, holder] : aSlots.Holders()) {
    candidates.insert(holder.mInstance);
    candidates.insert(holder.mFormerHolders.begin(),
                      holder.mFormerHolders.end());
  }
  std::vector<instance_id> unresponsive;
  for (instance_id const& candidate : candidates) {
    auto const last = mLastMessageAt.find(candidate);
    if (last == mLastMessageAt.end() ||
        aNow >= last->second + mTiming.mUnresponsiveAfter)
      unresponsive.push_back(candidate);
  }
  return unresponsive;
}

}
