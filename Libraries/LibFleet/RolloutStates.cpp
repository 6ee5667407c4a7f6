#include <LibFleet/RolloutStates.h>

#include <algorithm>
#include <chrono>

namespace lycheeseam {

namespace {

// An order may be replaced while another one is known to have been; the targets
// of older ones are gone.
constexpr std::size_t kKeptOrders = 4;

// Reports arrive every 150 ms over up to three links.
constexpr std::chrono::milliseconds kSilentAfter{ 1'000 };

bool
AreOfOneStep(rollout_state const& aLeft, rollout_state const& aRight)
{
  return aLeft.mRevision == aRight.mRevision && aLeft.mPhase == aRight.mPhase;
}

}

bool
rollout_states::Merge(instant aNow, rollout_notice const& aNotice)
{
  rollout_order const& order = aNotice.mState.mOrder;
  std::map<std::uint64_t, known_state>& orders = mStates[order.mPool];
  auto const found = orders.find(order.mNumber);
  if (found == orders.end()) {
    orders.emplace(order.mNumber, known_state{ aNotice, aNow });
    if (orders.size() > kKeptOrders)
      orders.erase(orders.begin());
    return true;
  }
  known_state& known = found->second;
  rollout_state const before = known.mNotice.mState;
  bool const isUndone = before.IsEnded() && !aNotice.mState.IsEnded();
  if (isUndone || aNotice.mLease < known.mNotice.mLease)
    return false;
  // Also when its state is older: the leader before must be heard no more.
  known.mNotice.mLease = aNotice.mLease;
  if (!aNotice.mState.IsNewerThan(before))
    return false;
  known = { .mNotice = aNotice, .mHeardAt = aNow };
  return !AreOfOneStep(before, aNotice.mState);
}

rollout_notice const*
rollout_states::Newest(pool_name const& aPool) const
{
  auto const found = mStates.find(aPool);
  if (found == mStates.end() || found->second.empty())
    return nullptr;
  return &found->second.rbegin()->second.mNotice;
}

std::vector<rollout_notice>
rollout_states::OfPool(pool_name const& aPool) const
{
  std::vector<rollout_notice> notices;
  auto const found = mStates.find(aPool);
  if (found == mStates.end())
    return notices;
  for (auto const& [number, known] : found->second)
    notices.push_back(known.mNotice);
  return notices;
}

std::vector<rollout_notice>
rollout_states::List() const
{
  std::vector<rollout_notice> notices;
  for (auto const& [pool, orders] : mStates) {
    for (auto const& [number, known] : orders)
      notices.push_back(known.mNotice);
  }
  return notices;
}

std::vector<pool_name>
rollout_states::Pools() const
{
  std::vector<pool_name> pools;
  for (auto const& [pool, orders] : mStates)
    pools.push_back(pool);
  return pools;
}

bool
rollout_states::IsLeaderSilent(instant aNow) const
{
  return std::any_of(mStates.begin(), mStates.end(), [aNow](auto const& aPool) {
    if (aPool.second.empty())
      return false;
    known_state const& newest = aPool.second.rbegin()->second;
    return !newest.mNotice.mState.IsEnded() &&
           aNow - newest.mHeardAt > kSilentAfter;
  });
}

}
