#include <LibFleet/LaggingPeers.h>

namespace lycheeseam {

bool
lagging_peers::IsSnapshotDue(instant aNow,
                             instance_id const& aPeer,
                             store_position aPeerEnd,
                             store_position aOwnEnd)
{
  if (aPeerEnd >= aOwnEnd) {
    mDueAt.erase(aPeer);
    return false;
  }
  instant& dueAt = mDueAt.try_emplace(aPeer, aNow + kTolerance).first->second;
  if (aNow < dueAt)
    return false;
  dueAt = aNow + kInterval;
  return true;
}

}
