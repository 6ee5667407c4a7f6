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
NoteAttemptEnd(traffic_meter& aMeter,
               instant aNow,
               run_trace const& aTrace,
               admitted_request const& aRows,
               backend_server_id const& aServer,
               std::string_view aCause)
{
  aMeter.OnAttemptEnd(aServer, aCause);
  LogEvent("attempt_ended",
           { { "request", aTrace.mRequest.Text() },
             { "server", aServer.Text() },
             { "cause", std::string{ aCause } },
             { "sends", std::int64_t{ aTrace.mSends } },
             { "may_repeat", std::int64_t{ aRows.mRoute->MayRepeat() } },
             { "config", static_cast<std::int64_t>(aRows.mConfig->Version()) },
             { "since_ms", Milliseconds(aNow - aTrace.mStartedAt) } });
}

void
NoteAnswer(traffic_meter& aMeter,
           instant aNow,
           run_trace const& aTrace,
           admitted_request const& aRows,
           backend_server_id const& aServer,
           std::uint32_t aStatus)
{
  aMeter.OnAnswer(aNow, aTrace, aRows, aServer, aStatus);
  LogEvent(
    "answered",
    { { "request", aTrace.mRequest.Text() },
      { "route", aRows.mRoute->mName.Text() },
      { "server", aServer.Text() },
      { "status", std::int64_t{ aStatus } },
      { "sends", std::int64_t{ aTrace.mSends } },
      { "pressure", aTrace.mPressure },
      { "fetched_from",
        aTrace.mFetchFrom ? aTrace.mFetchFrom->Text() : std::string{} },
      { "first_ms",
        Milliseconds(aTrace.mFirstAt.value_or(aNow) - aTrace.mStartedAt) },
      { "all_ms", Milliseconds(aNow - aTrace.mStartedAt) } });
}

void
NoteRefusal(traffic_meter& aMeter,
            instant aNow,
            run_trace const& aTrace,
            admitted_request const& aRows,
            request_refusal const& aRefusal)
{
  aMeter.OnRefusal(aNow, aTrace, aRows, aRefusal);
  LogEvent(
    "refused",
    { { "request", aTrace.mRequest.Text() },
      { "status", static_cast<std::int64_t>(aRefusal.mStatus) },
      { "route", aRows.mRoute ? aRows.mRoute->mName.Text() : std::string{} },
      { "workspace",
        aRows.mWorkspace ? aRows.mWorkspace->mName.Text() : std::string{} },
      { "units", aRows.mUnits },
      { "sends", std::int64_t{ aTrace.mSends } },
      { "may_have_run", std::int64_t{ aTrace.mMayHaveRun } },
      { "held_ms", Milliseconds(aNow - aTrace.mStartedAt) },
      { "retry_after_ms", std::int64_t{ aRefusal.mRetryAfter.count() } } });
}

}
