#include <LibGateway/TrafficMeter.h>

#include <utility>

namespace lycheeseam {

namespace {

char const*
ResultLabel(probe_result aResult)
{
  switch (aResult) {
    case probe_result::Answered:
      return "answered";
    case probe_result::NoLoad:
      return "no_load";
    case probe_result::OtherServer:
      return "other_server";
    case probe_result::TimedOut:
      return "timed_out";
    case probe_result::Failed:
      break;
  }
  return "failed";
}

}

void
traffic_meter::OnLoadUsed(instant aNow,
                          std::optional<reported_load> const& aLoad)
{
  if (aLoad && aLoad->mSlowdown)
    mRecorder.Observe(
      mRecorder.OpenHistogram({ .mMetric = "load_report_age_seconds" }),
      aNow - aLoad->mReportedAt);
}

void
traffic_meter::OnProbeEnd(probe_result aResult)
{
  Count("probes_total", "result", ResultLabel(aResult));
}

void
traffic_meter::OnSend(admitted_request const& aAdmitted, bool aIsRetry)
{
  Count("sends_total", "route", aAdmitted.mRoute->mName.Text());
  if (aIsRetry)
    Count("repeats_total", "pool", aAdmitted.mPool.Text());
}

void
traffic_meter::OnCrossing(crossing_reason aReason)
{
  Count("domain_crossings_total", "reason", std::string{ TextOf(aReason) });
}

void
traffic_meter::OnRolloutSend(registered_server const& aServer)
{
  mRecorder.Count(
    mRecorder.OpenCounter({ .mMetric = "rollout_sends_total",
                            .mLabel = "pool",
                            .mLabelValue = aServer.mPool.Text(),
                            .mSecondLabel = "software",
                            .mSecondLabelValue = aServer.mSoftware.Text() }));
}

void
traffic_meter::OnRetryDenied(pool_name const& aPool)
{
  Count("repeats_denied_total", "pool", aPool.Text());
}

void
traffic_meter::OnAttemptEnd(backend_server_id const& aServer,
                            std::string_view aCause)
{
  Count("attempts_ended_total", "cause", std::string{ aCause });
  Count("server_attempts_ended_total", "server", ServerLabel(aServer));
}

void
traffic_meter::OnBreakerOpened(backend_server_id const& aServer)
{
  Count("breakers_opened_total", "server", ServerLabel(aServer));
}

void
traffic_meter::OnAnswer(instant aNow,
                        run_trace const& aTrace,
                        admitted_request const& aAdmitted,
                        backend_server_id const& aServer,
                        std::uint32_t aStatus)
{
  duration const all = aNow - aTrace.mStartedAt;
  duration const first =
    aTrace.mFirstPieceAt.value_or(aNow) - aTrace.mStartedAt;
  std::string const route = aAdmitted.mRoute->mName.Text();
  Count("answers_total", "status", std::to_string(aStatus));
  if (aTrace.mFetchFrom)
    Count("prompt_fetches_total", "route", route);
  Observe("route_first_byte_seconds", "route", route, first);
  Observe("route_answer_seconds", "route", route, all);
  Observe("server_first_byte_seconds", "server", ServerLabel(aServer), first);
  if (aAdmitted.mWorkspace != nullptr)
    Observe("workspace_first_byte_seconds",
            "workspace",
            aAdmitted.mWorkspace->mName.Text(),
            first);
}

void
traffic_meter::OnRefusal(instant aNow,
                         run_trace const& aTrace,
                         admitted_request const& aAdmitted,
                         request_refusal const& aRefusal)
{
  Observe("refusal_held_seconds",
          "status",
          std::to_string(static_cast<int>(aRefusal.mStatus)),
          aNow - aTrace.mStartedAt);
  if (aAdmitted.mRoute != nullptr)
    Count("route_refusals_total", "route", aAdmitted.mRoute->mName.Text());
  if (aAdmitted.mWorkspace != nullptr)
    Count("workspace_refusals_total",
          "workspace",
          aAdmitted.mWorkspace->mName.Text());
}

void
traffic_meter::Count(char const* aMetric,
                     char const* aLabel,
                     std::string aValue)
{
  mRecorder.Count(mRecorder.OpenCounter({ .mMetric = aMetric,
                                          .mLabel = aLabel,
                                          .mLabelValue = std::move(aValue) }));
}

void
traffic_meter::Observe(char const* aMetric,
                       char const* aLabel,
                       std::string aValue,
                       duration aSpan)
{
  mRecorder.Observe(
    mRecorder.OpenHistogram({ .mMetric = aMetric,
                              .mLabel = aLabel,
                              .mLabelValue = std::move(aValue) }),
    aSpan);
}

std::string
traffic_meter::ServerLabel(backend_server_id const& aServer)
{
  if (mServers.size() >= kMaxServerSeries && !mServers.contains(aServer))
    return "others";
  mServers.insert(aServer);
  return aServer.Text();
}

}
