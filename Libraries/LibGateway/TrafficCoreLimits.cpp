#include <LibEvents/EventLog.h>
#include <LibGateway/LogLimit.h>
#include <LibGateway/TrafficCore.h>

#include <chrono>

// The limits that servers name, as this instance and others observe them.

namespace lycheeseam {

namespace {

// An unchanged limit is reported again when no instance has for this long.
constexpr std::chrono::seconds kLimitReportInterval{ 1 };

}

void
traffic_core::ApplyLimits(instant aNow)
{
  if (mInstanceOrder.Update(mView->mReadyInstances)) {
    for (auto const& [id, server] : mServers.Servers()) {
      if (server->mLimit.RequestsPerSecond())
        UpdateLimitShare(aNow, *server);
    }
  }
  for (observed_limit const& observed : mView->mLimits) {
    std::shared_ptr<tracked_server> const server =
      mServers.Find(observed.mServer.mServer);
    bool const isSame = server && server->mRegistered.mIncarnation ==
                                    observed.mServer.mIncarnation;
    if (isSame && ApplyLimit(aNow, *server, observed))
      LogLimit(aNow, *server, evidence_source::Peer);
  }
}

bool
traffic_core::ApplyLimit(instant aNow,
                         tracked_server& aServer,
                         observed_limit const& aObserved)
{
  if (!aServer.mLimit.RequestsPerSecond())
    UpdateLimitShare(aNow, aServer);
  return aServer.mLimit.Apply(
    aNow, aObserved.mRequestsPerSecond, aObserved.mObservedAt);
}

void
traffic_core::UpdateLimitShare(instant aNow, tracked_server& aServer)
{
  aServer.mLimit.SetPosition(
    aNow, mInstanceOrder.Position(aServer.mSeed), mInstanceOrder.Count());
}

void
traffic_core::OnLimit(instant aNow,
                      tracked_server& aServer,
                      std::optional<double> aRequestsPerSecond)
{
  if (!aRequestsPerSecond && !aServer.mLimit.RequestsPerSecond())
    return;
  observed_limit const observed{
    .mServer = { .mServer = aServer.mRegistered.mId,
                 .mIncarnation = aServer.mRegistered.mIncarnation },
    .mRequestsPerSecond = aRequestsPerSecond,
    .mObservedAt = aNow
  };
  bool const isDue = aNow - aServer.mLimit.ObservedAt() >= kLimitReportInterval;
  if (ApplyLimit(aNow, aServer, observed) || isDue)
    mReport.mLimits.push_back(observed);
  LogLimit(aNow, aServer, evidence_source::Own);
}

void
traffic_core::OnBrittle(instant aNow,
                        tracked_server const& aServer,
                        double aRejectionsPerSecond)
{
  if (!aServer.mRejections.IsInForce(aNow))
    LogEvent("servers_brittle",
             { { "pool", aServer.mRegistered.mPool.Text() },
               { "rejections_per_s", aRejectionsPerSecond } });
  for (tracked_server* const server : mServers.Pool(aServer.mRegistered.mPool))
    server->mRejections.OnAnnounced(aNow, aRejectionsPerSecond);
}

void
traffic_core::OnRejected(instant aNow, tracked_server& aServer)
{
  if (aServer.mRejections.IsInForce(aNow))
    OnPause(aNow,
            aServer,
            std::chrono::duration_cast<std::chrono::milliseconds>(
              aServer.mRejections.PauseAfterRejection(mView->mInstances)));
}

}
