#include <LibDispatch/TunnelPeers.h>

#include <algorithm>
#include <iterator>

namespace lycheeseam {

void
tunnel_peers::Update(std::span<ready_instance const> aReady,
                     std::span<ready_instance const> aStopping)
{
  auto const mayOpen = [this](ready_instance const& aInstance) {
    return aInstance.mInstance != mSelf && aInstance.mTunnels.mPort != 0;
  };
  mPeers.clear();
  mStopping.clear();
  std::copy_if(
    aReady.begin(), aReady.end(), std::back_inserter(mPeers), mayOpen);
  std::copy_if(
    aStopping.begin(), aStopping.end(), std::back_inserter(mStopping), mayOpen);
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
tunnel_peers::Next(instant aNow,
                   std::span<ready_instance const> aPeers,
                   std::set<instance_id> const& aTried,
                   experience aWanted)
{
  for (std::size_t step = 0; step < aPeers.size(); ++step) {
    ready_instance const& peer = aPeers[(mNext + step) % aPeers.size()];
    if (aTried.contains(peer.mInstance) ||
        ExperienceWith(aNow, peer.mInstance) != aWanted)
      continue;
    mNext += step + 1;
    return &peer;
  }
  return nullptr;
}

ready_instance const*
tunnel_peers::Choose(instant aNow, std::set<instance_id> const& aTried)
{
  bool const isNewFirst = aTried.empty() && IsNewPeerDue(aNow);
  experience const first =
    isNewFirst ? experience::Unknown : experience::Opened;
  experience const second =
    isNewFirst ? experience::Opened : experience::Unknown;
  ready_instance const* chosen = Next(aNow, mPeers, aTried, first);
  if (chosen == nullptr)
    chosen = Next(aNow, mPeers, aTried, second);
  for (experience const wanted :
       { experience::Opened, experience::Unknown, experience::Failed }) {
    if (chosen == nullptr)
      chosen = Next(aNow, mStopping, aTried, wanted);
  }
  return chosen != nullptr ? chosen
                           : Next(aNow, mPeers, aTried, experience::Failed);
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
