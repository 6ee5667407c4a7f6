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
  if (!mStarted || aNow > mTickedAt + mTiming.mSilence / 4)
    mListeningSince = aNow;
  mStarted = true;
  mTickedAt = aNow;
}

void
peer_activity::OnHeard(instant aNow, instance_id const& aPeer)
{
  mHeardAt[aPeer] = aNow;
}

std::vector<instance_id>
peer_activity::Silent(instant aNow, slot_fold const& aSlots) const
{
  bool const isAttentive = mStarted &&
                           aNow <= mTickedAt + mTiming.mSilence / 4 &&
                           aNow >= mListeningSince + mTiming.mSilence;
  if (!isAttentive)
    return {};
  std::set<instance_id> candidates;
  for (auto const& [slot, holder] : aSlots.Holders()) {
    candidates.insert(holder.mInstance);
    candidates.insert(holder.mFormer.begin(), holder.mFormer.end());
  }
  std::vector<instance_id> silent;
  for (instance_id const& candidate : candidates) {
    auto const heard = mHeardAt.find(candidate);
    if (heard == mHeardAt.end() || aNow >= heard->second + mTiming.mSilence)
      silent.push_back(candidate);
  }
  return silent;
}

}
