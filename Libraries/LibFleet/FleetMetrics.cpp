#include <LibEvents/EventLog.h>
#include <LibFleet/FleetMetrics.h>
#include <LibHttp/HttpStatus.h>
#include <LibMetrics/EncodePrometheus.h>

#include <chrono>

namespace lycheeseam {

namespace {

constexpr std::chrono::seconds kRateInterval{ 1 };

}

void
fleet_metrics::Tick(instant aNow, fleet_view const& aView, std::uint64_t aLease)
{
  if (aNow < mNextTick)
    return;
  mNextTick = aNow + kRateInterval;
  SetGauges(aNow, aView, aLease);
  CountEvents();
  mStore.Merge(mRecorder.TakeDelta());
  mStore.Tick();
}

void
fleet_metrics::SetGauges(instant aNow,
                         fleet_view const& aView,
                         std::uint64_t aLease)
{
  auto const set = [this](char const* aMetric, double aValue) {
    mStore.SetGauge({ .mMetric = aMetric }, aValue);
  };
  if (aView.mConfig && aView.mConfig->Version() != mConfigVersion) {
    mConfigVersion = aView.mConfig->Version();
    mConfigSince = aNow;
  }
  if (mConfigVersion != 0)
    set("config_age_seconds",
        std::chrono::duration<double>{ aNow - mConfigSince }.count());
  set("config_version", static_cast<double>(mConfigVersion));
  set("servers", static_cast<double>(aView.mServers.size()));
  set("servers_turning", static_cast<double>(aView.mUpdating.size()));
  set("instances", aView.mInstances);
  set("instances_silent", aView.mUnresponsiveInstances);
  set("instances_ready", static_cast<double>(aView.mReadyInstances.size()));
  set("order_lease", static_cast<double>(aLease));
}

void
fleet_metrics::SetRollout(pool_name const& aPool,
                          double aShare,
                          std::uint64_t aBadAnswers)
{
  mStore.SetGauge({ .mMetric = "rollout_share",
                    .mLabel = "pool",
                    .mLabelValue = aPool.Text() },
                  aShare);
  mStore.SetGauge({ .mMetric = "rollout_bad_answers",
                    .mLabel = "pool",
                    .mLabelValue = aPool.Text() },
                  static_cast<double>(aBadAnswers));
}

local_answer
fleet_metrics::Answer(request_head const& aQuery)
{
  if (aQuery.mMethod != "GET" || aQuery.mTarget != "/metrics")
    return { .mHead = { .mStatus = kHttpNotFound, .mReason = "Not Found" } };
  CountEvents();
  mStore.Merge(mRecorder.TakeDelta());
  return {
    .mHead = { .mStatus = kHttpOk,
               .mReason = "OK",
               .mFields = { { "Content-Type", "text/plain; version=0.0.4" } } },
    .mBody = EncodePrometheus(mStore.Report())
  };
}

void
fleet_metrics::CountEvents()
{
  for (event_count const& event : TakeEventCounts())
    mRecorder.Count(mRecorder.OpenCounter({ .mMetric = "events_total",
                                            .mLabel = "event",
                                            .mLabelValue = event.mEvent }),
                    event.mCount);
}

}
