#include <LibMembership/QuietLinkSupervisor.h>

namespace lycheeseam {

quiet_link_supervisor::quiet_link_supervisor(quiet_link_options aOptions,
                                             instant aNow)
  : mOptions(aOptions)
  , mLastReceived(aNow)
  , mLastPing(aNow)
{
}

void
quiet_link_supervisor::OnReceived(instant aNow)
{
  mLastReceived = aNow;
  mPings = 0;
}

link_check
quiet_link_supervisor::Check(instant aNow)
{
  if (aNow - mLastReceived < mOptions.mQuietInterval)
    return link_check::Quiet;
  if (mPings > 0 && aNow - mLastPing < mOptions.mPingInterval)
    return link_check::Quiet;
  // Pings are counted, not time alone: a process that was itself paused finds
  // the peer's answers unread and must ask again before it decides.
  if (mPings >= mOptions.mPingLimit)
    return link_check::Dead;
  ++mPings;
  mLastPing = aNow;
  return link_check::Ping;
}

}
