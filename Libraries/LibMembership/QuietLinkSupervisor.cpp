#include <LibMembership/QuietLinkSupervisor.h>

namespace lycheeseam {

quiet_link_supervisor::quiet_link_supervisor(quiet_link_options aOptions,
                                             instant aNow)
  : mOptions(aOptions)
  , mLastReceived(aNow)
  , mLastSent(aNow)
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
  if (aNow - mLastReceived < mOptions.mQuietInterval) {
    if (!IsHeartbeatDue(aNow))
      return link_check::None;
    mLastSent = aNow;
    return link_check::Heartbeat;
  }
  if (mPings > 0 && aNow - mLastSent < mOptions.mPingInterval)
    return link_check::None;
  // Counts pings rather than only time: a process that was itself paused hasn't
  // read the peer's answers yet and must ping again before it decides.
  if (mPings >= mOptions.mPingLimit)
    return link_check::Dead;
  ++mPings;
  mLastSent = aNow;
  return link_check::Ping;
}

bool
quiet_link_supervisor::IsHeartbeatDue(instant aNow) const
{
  return mOptions.mHeartbeatInterval > duration::zero() &&
         aNow - mLastSent >= mOptions.mHeartbeatInterval;
}

}
