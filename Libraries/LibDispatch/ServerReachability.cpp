#include <LibDispatch/ServerReachability.h>

#include <algorithm>
#include <utility>

namespace lycheeseam {

bool
server_reachability::OnConnected()
{
  mUnreachableAt.clear();
  return std::exchange(mIsCutOff, false);
}

bool
server_reachability::OnUnreachable(instant aNow,
                                   backend_server_id const& aServer,
                                   std::size_t aServers)
{
  if (mIsCutOff)
    return false;
  std::erase_if(mUnreachableAt, [aNow](auto const& aEntry) {
    return aNow - aEntry.second > kFailureLifetime;
  });
  mUnreachableAt[aServer] = aNow;
  mIsCutOff = mUnreachableAt.size() >= std::min(kUnreachableServers, aServers);
  mNextProbeAt = aNow + kProbeInterval;
  return mIsCutOff;
}

bool
server_reachability::TakeProbe(instant aNow)
{
  if (!mIsCutOff || aNow < mNextProbeAt)
    return false;
  mNextProbeAt = aNow + kProbeInterval;
  return true;
}

}
