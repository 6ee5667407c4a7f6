#include <LibMembership/OnDemandPeers.h>

#include <algorithm>
#include <set>

namespace lycheeseam {

on_demand_peers::on_demand_peers(on_demand_peers_options aOptions)
  : mOptions(aOptions)
{
}

void
on_demand_peers::OnUse(instance_id const& aPeer, instant aNow)
{
  mLastUse.insert_or_assign(aPeer, aNow);
  if (mLastUse.size() > mOptions.mMaxPeers)
    DropLeastRecentlyUsed();
}

std::vector<instance_id>
on_demand_peers::Merge(std::span<instance_id const> aSelected, instant aNow)
{
  std::erase_if(mLastUse, [&](auto const& aEntry) {
    return aNow - aEntry.second >= mOptions.mIdleTimeout;
  });
  std::set<instance_id> merged{ aSelected.begin(), aSelected.end() };
  for (auto const& [peer, lastUse] : mLastUse)
    merged.insert(peer);
  return { merged.begin(), merged.end() };
}

void
on_demand_peers::DropLeastRecentlyUsed()
{
  auto const leastRecentlyUsed =
    std::min_element(mLastUse.begin(),
                     mLastUse.end(),
                     [](auto const& aLeft, auto const& aRight) {
                       return aLeft.second < aRight.second;
                     });
  mLastUse.erase(leastRecentlyUsed);
}

}
