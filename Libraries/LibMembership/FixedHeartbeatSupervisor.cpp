#include <LibMembership/FixedHeartbeatSupervisor.h>

namespace lycheeseam {

fixed_heartbeat_supervisor::fixed_heartbeat_supervisor(
  fixed_heartbeat_options aOptions,
  instant aNow)
  : mOptions(aOptions)
  , mLastReceived(aNow)
  , mNextHeartbeat(aNow)
{
}

void
fixed_heartbeat_supervisor::OnReceived(instant aNow)
{
  mLastReceived = aNow;
}

link_check
fixed_heartbeat_supervisor::Check(instant aNow)
{
  if (aNow - mLastReceived >= mOptions.mTimeout)
    return link_check::Dead;
  if (aNow < mNextHeartbeat)
    return link_check::None;
  mNextHeartbeat = aNow + mOptions.mInterval;
  return link_check::Heartbeat;
}

}
