#include <LibEvents/EventLog.h>
#include <LibGateway/RunEvents.h>

#include <chrono>

namespace lycheeseam {

namespace {

std::int64_t
Milliseconds(duration aSpan)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aSpan).count();
}

}

void
run_events::OnAttemptEnd(instant aNow,
                         backend_server_id const& aServer,
                         std::string_view aCause)
{
  mMeter.OnAttemptEnd(aServer, aCause);
  LogEvent(
    "attempt_ended",
    { { "request", mTrace.mRequest.Text() },
      { "server", aServer.Text() },
      { "cause", std::string{ aCause } },
      { "status", std::int64_t{ mTrace.mStatus } },
      { "sends", std::int64_t{ mTrace.mSends } },
      { "may_repeat", std::int64_t{ mAdmitted.mRoute->MayRetry() } },
      { "config", static_cast<std::int64_t>(mAdmitted.mConfig->Version()) },
      { "first_ms",
        mTrace.mFirstPieceAt
          ? Milliseconds(*mTrace.mFirstPieceAt - mTrace.mStartedAt)
          : std::int64_t{ -1 } },
      { "parts", mTrace.mSharedParts },
      { "since_ms", Milliseconds(aNow - mTrace.mStartedAt) } });
}

void
run_events::OnAnswer(instant aNow,
                     backend_server_id const& aServer,
                     std::uint32_t aStatus)
{
  mMeter.OnAnswer(aNow, mTrace, mAdmitted, aServer, aStatus);
  LogEvent(
    "answered",
    { { "request", mTrace.mRequest.Text() },
      { "route", mAdmitted.mRoute->mName.Text() },
      { "server", aServer.Text() },
      { "status", std::int64_t{ aStatus } },
      { "sends", std::int64_t{ mTrace.mSends } },
      { "pressure", mTrace.mPressure },
      { "left_domain", std::string{ TextOf(mTrace.mCrossing) } },
      { "load_age_ms",
        mTrace.mLoad.IsReported() ? Milliseconds(mTrace.mLoad.mAge)
                                  : std::int64_t{ -1 } },
      { "slowdown", mTrace.mLoad.mSlowdown },
      { "fetched_from",
        mTrace.mFetchFrom ? mTrace.mFetchFrom->Text() : std::string{} },
      { "first_ms",
        Milliseconds(mTrace.mFirstPieceAt.value_or(aNow) - mTrace.mStartedAt) },
      { "all_ms", Milliseconds(aNow - mTrace.mStartedAt) } });
}

void
run_events::OnRefusal(instant aNow, request_refusal const& aRefusal)
{
  mMeter.OnRefusal(aNow, mTrace, mAdmitted, aRefusal);
  LogEvent(
    "refused",
    { { "request", mTrace.mRequest.Text() },
      { "status", static_cast<std::int64_t>(aRefusal.mStatus) },
      { "route",
        mAdmitted.mRoute ? mAdmitted.mRoute->mName.Text() : std::string{} },
      { "workspace",
        mAdmitted.mWorkspace ? mAdmitted.mWorkspace->mName.Text()
                             : std::string{} },
      { "units", mAdmitted.mUnits },
      { "sends", std::int64_t{ mTrace.mSends } },
      { "may_have_run", std::int64_t{ mTrace.MayHaveRun() } },
      { "held_ms", Milliseconds(aNow - mTrace.mStartedAt) },
      { "retry_after_ms", std::int64_t{ aRefusal.mRetryAfter.count() } } });
}

}
