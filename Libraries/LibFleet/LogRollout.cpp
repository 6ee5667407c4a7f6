#include <LibEvents/EventLog.h>
#include <LibFleet/LogRollout.h>

#include <chrono>
#include <cstdint>
#include <string>

namespace lycheeseam {

namespace {

std::string
NameOf(rollout_phase aPhase)
{
  switch (aPhase) {
    case rollout_phase::Observing:
      return "observing";
    case rollout_phase::Ramping:
      return "ramping";
    case rollout_phase::Draining:
      return "draining";
    case rollout_phase::Completed:
      return "completed";
    case rollout_phase::RolledBack:
      return "rolled_back";
  }
  return "unknown";
}

std::string
NameOf(rollout_reason aReason)
{
  switch (aReason) {
    case rollout_reason::None:
      return "none";
    case rollout_reason::Failures:
      return "failures";
    case rollout_reason::SlowFirstEvent:
      return "slow_first_event";
    case rollout_reason::SlowEvents:
      return "slow_events";
    case rollout_reason::TooFewServers:
      return "too_few_servers";
    case rollout_reason::Replaced:
      return "replaced";
  }
  return "unknown";
}

std::int64_t
Milliseconds(duration aSpan)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aSpan).count();
}

}

void
LogRolloutStep(rollout_state const& aState, double aExposure)
{
  LogEvent("rollout_step",
           { { "pool", aState.mOrder.mPool.Text() },
             { "to", aState.mOrder.mTarget.Text() },
             { "phase", NameOf(aState.mPhase) },
             { "share", aState.mShare },
             { "servers", std::int64_t{ aState.mServers } },
             { "exposure", aExposure },
             { "elapsed_ms", Milliseconds(aState.mElapsed) } });
}

void
LogRolloutBad(rollout_state const& aState, rollout_verdict const& aVerdict)
{
  LogEvent("rollout_bad",
           { { "pool", aState.mOrder.mPool.Text() },
             { "to", aState.mOrder.mTarget.Text() },
             { "route", aVerdict.mRoute.Text() },
             { "reason", NameOf(aVerdict.mReason) },
             { "bad", aVerdict.mBad },
             { "expected", aVerdict.mExpected },
             { "elapsed_ms", Milliseconds(aState.mElapsed) } });
}

void
LogRolloutEnded(rollout_state const& aState)
{
  LogEvent("rollout_ended",
           { { "pool", aState.mOrder.mPool.Text() },
             { "to", aState.mOrder.mTarget.Text() },
             { "state", NameOf(aState.mPhase) },
             { "reason", NameOf(aState.mReason) },
             { "elapsed_ms", Milliseconds(aState.mElapsed) } });
}

}
