#include <LibDispatch/TunnelPeers.h>

#include <algorithm>
#include <iterator>

namespace lycheeseam {

void
tunnel_peers::Update(std::span<ready_instance const> aReady)
{
  mPeers.clear();
  std::copy_if(aReady.begin(),
               aReady.end(),
               std::back_inserter(mPeers),
               [this](ready_instance const& aInstance) {
                 return aInstance.mInstance != mSelf &&
                        aInstance.mTunnels.mPort != 0;
               });
}

tunnel_peers::experience
tunnel_peers::ExperienceWith(instant aNow, instance_id const& aPeer) const
{
  auto const failed = mFailedAt.find(aPeer);
  if (failed != mFailedAt.end() && aNow - failed->second < kFailureLifetime)
    return experience::Failed;
  auto const opened = mOpenedAt.find(aPeer);
  if (opened != mOpenedAt.end() && aNow - opened->second < kSuccessLifetime)
    return experience::Opened;
  return experience::Unknown;
}

bool
tunnel_peers::IsNewPeerDue(instant aNow)
{
  std::size_t opened = 0;
  for (ready_instance const& peer : mPeers) {
    if (ExperienceWith(aNow, peer.mInstance) == experience::Opened)
      ++opened;
  }
  // Every other request tries a new peer, so that the rest aren't delayed by
  // peers that are cut off as well.
  return opened > 0 && opened < kWantedPeers && ++mChoices % 2 == 0;
}

ready_instance const*
tunnel_peers::Choose(instant aNow, std::set<instance_id> const& aTried)
{
  bool const isNewFirst = aTried.empty() && IsNewPeerDue(aNow);
  for (experience const wanted :
       { isNewFirst ? experience::Unknown : experience::Opened,
         isNewFirst ? experience::Opened : experience::Unknown,
         experience::Failed }) {
    for (std::size_t step = 0; step < mPeers.size(); ++step) {
      ready_instance const& peer = mPeers[(mNext + step) % mPeers.size()];
      if (aTried.contains(peer.mInstance) ||
          ExperienceWith(aNow, peer.mInstance) != wanted)
        continue;
      mNext += step + 1;
      return &peer;
    }
  }
  return nullptr;
}

void
tunnel_peers::OnOpened(instant aNow, instance_id const& aPeer)
{
  mOpenedAt[aPeer] = aNow;
  mFailedAt.erase(aPeer);
}

void
tunnel_peers::OnFailed(instant aNow, instance_id const& aPeer)
{
  mFailedAt[aPeer] = aNow;
}

}
