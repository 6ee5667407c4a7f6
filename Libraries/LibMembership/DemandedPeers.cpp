#include <LibMembership/DemandedPeers.h>

#include <algorithm>
#include <set>

namespace lycheeseam {

demanded_peers::demanded_peers(demanded_peers_options aOptions)
  : mOptions(aOptions)
{
}

void
demanded_peers::OnUse(instance_id const& aPeer, instant aNow)
{
  mLastUse.insert_or_assign(aPeer, aNow);
  if (mLastUse.size() > mOptions.mMaxPeers)
    DropIdlest();
}

std::vector<instance_id>
demanded_peers::Join(std::span<instance_id const> aSelected, instant aNow)
{
  std::erase_if(mLastUse, [&](auto const& aEntry) {
    return aNow - aEntry.second >= mOptions.mIdleTimeout;
  });
  std::set<instance_id> joined{ aSelected.begin(), aSelected.end() };
  for (auto const& [peer, lastUse] : mLastUse)
    joined.insert(peer);
  return { joined.begin(), joined.end() };
}

void
demanded_peers::DropIdlest()
{
  auto const idlest =
    std::min_element(mLastUse.begin(),
                     mLastUse.end(),
                     [](auto const& aLeft, auto const& aRight) {
                       return aLeft.second < aRight.second;
                     });
  mLastUse.erase(idlest);
}

}
