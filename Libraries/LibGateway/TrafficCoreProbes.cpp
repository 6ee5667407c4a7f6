#include <LibGateway/TrafficCore.h>

// What probes of servers' loads show.

namespace lycheeseam {

probe_result
traffic_core::OnProbeAnswer(instant aNow,
                            tracked_server& aServer,
                            server_answer const& aAnswer)
{
  if (aAnswer.mServer && *aAnswer.mServer != aServer.mRegistered.mId)
    return probe_result::OtherServer;
  // The answer of a health path needn't repeat a limit, so that one without it
  // doesn't end the limit.
  if (aAnswer.mRequestsPerSecond)
    OnLimit(aNow, aServer, aAnswer.mRequestsPerSecond);
  if (aAnswer.mIsLeaving)
    OnLeaving(aServer);
  if (aAnswer.mPause.count() > 0)
    OnPause(aNow, aServer, aAnswer.mPause);
  if (!aAnswer.mLoad)
    return probe_result::NoLoad;
  OnLoad(aNow, aServer, *aAnswer.mLoad);
  return probe_result::Answered;
}

void
traffic_core::OnProbeEnd(backend_server_id const& aServer, probe_result aResult)
{
  mProbes.OnEnd(aServer);
  mMeter.OnProbeEnd(aResult);
}

void
traffic_core::OnLoad(instant aNow, tracked_server& aServer, reported_load aLoad)
{
  aLoad.mReportedAt = aNow;
  aServer.OnLoad(aLoad);
  if (aLoad.mSlowdown)
    mReport.mLoads.push_back({ .mServer = aServer.mSeed, .mLoad = aLoad });
}

}
