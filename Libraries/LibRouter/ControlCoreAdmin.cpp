#include <LibMetrics/EncodePrometheus.h>
#include <LibRouter/ControlCore.h>
#include <LibRouter/InstanceReport.h>

namespace lycheeseam {

void
control_core::HandleAdmin(admin_call const& aCall, admin_callback aDone)
{
  mAdmin.Handle(aCall, std::move(aDone));
  Advance();
}

config_tables const&
control_core::Tables() const
{
  return mState.Config().Tables();
}

// A proposal is valid up to an offset that is computed from the log's tail, so
// none is accepted before this instance follows the log.
void
control_core::Propose(config_proposal aProposal, proposal_callback const& aDone)
{
  if (mFollower.Phase() != follower_phase::Following) {
    aDone(std::nullopt);
    return;
  }
  mAppender.Submit(
    std::move(aProposal),
    mClock.Now(),
    [this, aDone](append_outcome const& aEnd) { FinishProposal(aEnd, aDone); });
}

void
control_core::FinishProposal(append_outcome const& aEnd,
                             proposal_callback const& aDone) const
{
  proposal_outcome const* const outcome =
    mState.Config().FindOutcome(aEnd.mProposal);
  if (outcome)
    aDone(*outcome);
  else
    aDone(std::nullopt);
}

std::string
control_core::StatusText()
{
  return FormatReport({ .mSelf = mStatus.Self(),
                        .mApplied = mState.Offset(),
                        .mTail = mFollower.Range().mTail,
                        .mFreshness = mStatus.Freshness(mClock.Now()),
                        .mOpenCalls = mDirector.OpenCalls(),
                        .mMembers = mStatus.Members().Members(),
                        .mSlots = mBudget.Slots().Holders() });
}

std::string
control_core::MetricsText()
{
  mMetrics.Merge(mRecorder.TakeDelta());
  SetGauge("open_calls", static_cast<double>(mDirector.OpenCalls()));
  SetGauge("applied_offset", static_cast<double>(mState.Offset().Value()));
  peer_counters const& peers = mHub.Counters();
  SetGauge("peer_bytes_sent", static_cast<double>(peers.mBytesSent));
  SetGauge("peer_bytes_received", static_cast<double>(peers.mBytesReceived));
  SetGauge("peer_messages_dropped", static_cast<double>(peers.mDropped));
  return EncodePrometheus(mMetrics.Report());
}

void
control_core::SetGauge(char const* aMetric, double aValue)
{
  mMetrics.SetGauge(counter_series{ .mMetric = aMetric }, aValue);
}

}
