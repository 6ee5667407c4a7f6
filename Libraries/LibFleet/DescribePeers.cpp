#include <LibFleet/DescribePeers.h>

namespace lycheeseam {

void
DescribePeers(instant aNow, peer_registry const& aPeers, fleet_view& aView)
{
  aView.mUpdating.merge(aPeers.Updating(aNow));
  aView.mReadyInstances = aPeers.Entries();
  aView.mStoppingInstances = aPeers.Stopping();
  aView.mInstances = aPeers.Known().Count() + 1;
  aView.mUnresponsiveInstances = aPeers.Unresponsive(aNow);
  aView.mPeerUsage = aPeers.Usage().Total();
  aView.mWindowUsage = aPeers.WindowUsage(aNow);
}

}
