#include <LibEvents/EventLog.h>
#include <LibGateway/LogEvidence.h>
#include <LibGateway/TrafficCore.h>

#include <algorithm>
#include <functional>
#include <string>
#include <utility>

namespace lycheeseam {

namespace {

// Each instance counts retries for itself. The fraction that is held back
// covers requests that an instance counts in another window than their server
// does.
constexpr double kRetryBudgetFraction = 0.8;

}

traffic_core::traffic_core(gateway_options const& aOptions,
                           published<fleet_view> const& aPublished)
  : mOptions(aOptions)
  , mPublished(aPublished)
  , mView(std::make_shared<fleet_view const>())
  , mInstanceOrder(aOptions.mInstance)
  , mQuota(aOptions.mQuota)
  , mTunnelPeers(aOptions.mInstance)
  , mProbes(std::hash<std::string>{}(aOptions.mInstance.Text()))
  , mRollouts(aOptions.mRollouts)
{
}

std::shared_ptr<fleet_view const> const&
traffic_core::View(instant aNow)
{
  std::shared_ptr<fleet_view const> newest = mPublished.Current();
  if (newest == mView)
    return mView;
  bool const isShareNew = newest->mInstances != mView->mInstances;
  mView = std::move(newest);
  if (isShareNew) {
    for (retry_budgets::value_type& budget : mRetryBudgets)
      budget.second.SetOptions(RetryBudgetOptions());
  }
  mServers.Apply(*mView);
  mRollouts.Apply(aNow, *mView, mServers);
  mTunnelPeers.Update(mView->mReadyInstances, mView->mStoppingInstances);
  ApplyLimits(aNow);
  mQuota.Apply(aNow, *mView);
  return mView;
}

caller_limits
traffic_core::Limits(instant aNow)
{
  std::shared_ptr<fleet_view const> const& view = View(aNow);
  return view->mConfig ? view->mConfig->Limits() : caller_limits{};
}

retry_budget_options
traffic_core::RetryBudgetOptions() const
{
  double const slack =
    kRetryBudgetFraction * mOptions.mRetrySlack / mView->mInstances;
  // What is saved up and what is earned within a window add up to the slack, so
  // that no window sees more. A budget that saves up less than a whole retry
  // would never allow one.
  double const saved = std::max(1.0, slack / 2);
  double const earned = std::max(0.0, slack - saved);
  return { .mRetriesPerRequest = kRetryBudgetFraction * mOptions.mRetryRatio,
           .mMaxAvailable = saved,
           .mRetriesPerSecond =
             earned /
             std::chrono::duration<double>(mOptions.mRetryWindow).count() };
}

retry_budget&
traffic_core::RetryBudget(pool_name const& aPool)
{
  return mRetryBudgets.try_emplace(aPool, RetryBudgetOptions()).first->second;
}

void
traffic_core::OnFirstAttempt(pool_name const& aPool)
{
  RetryBudget(aPool).OnRequest();
}

bool
traffic_core::TrySpendRetry(instant aNow, pool_name const& aPool)
{
  retry_budget& budget = RetryBudget(aPool);
  budget.Refill(aNow);
  if (budget.TrySpend())
    return true;
  mMeter.OnRetryDenied(aPool);
  return false;
}

void
traffic_core::OnCrash(instant aNow, std::uint64_t aFingerprint)
{
  mCrashes.OnCrash(aNow, aFingerprint);
  mReport.mCrashes.push_back({ .mFingerprint = aFingerprint, .mCount = 1 });
}

void
traffic_core::OnPartsCrashed(instant aNow,
                             std::span<part_crashes const> aWhenSent)
{
  Report(mSuspects.OnCrash(aNow, aWhenSent));
}

void
traffic_core::OnPartsAnswered(instant aNow,
                              std::span<part_crashes const> aWhenSent)
{
  Report(mSuspects.OnAnswer(aNow, aWhenSent));
}

void
traffic_core::Report(std::span<part_crashes const> aNews)
{
  for (part_crashes const& evidence : aNews) {
    LogEvidence(evidence, evidence_source::Own);
    mReport.mPartCrashes.push_back(evidence);
  }
}

bool
traffic_core::RunsTrialOf(instant aNow, std::uint64_t aPart)
{
  View(aNow);
  return mInstanceOrder.Position(aPart) == 0;
}

void
traffic_core::OnReplaced(tracked_server& aServer)
{
  aServer.mRegistered.mStage = server_stage::Leaving;
  mReport.mReplaced.push_back(
    { .mServer = aServer.mRegistered.mId,
      .mIncarnation = aServer.mRegistered.mIncarnation });
}

void
traffic_core::OnLeaving(tracked_server& aServer)
{
  if (std::exchange(aServer.mHasAnnouncedLeaving, true))
    return;
  bool const isRegisteredReady =
    aServer.mRegistered.mStage == server_stage::Ready;
  LogEvent("server_leaving",
           { { "server", aServer.mRegistered.mId.Text() },
             { "registered_ready", std::int64_t{ isRegisteredReady } } });
}

void
traffic_core::OnPause(instant aNow,
                      tracked_server& aServer,
                      std::chrono::milliseconds aPause)
{
  aServer.mPausedUntil = std::max(aServer.mPausedUntil, aNow + aPause);
  LogEvent("server_paused",
           { { "server", aServer.mRegistered.mId.Text() },
             { "pause_ms", std::int64_t{ aPause.count() } } });
}

void
traffic_core::OnPrefixRead(instant aNow, prefix_holder const& aHolder)
{
  bool const isKnown =
    !aHolder.mIsStored && mPrefixes.IsRecent(aNow, aHolder.mKey);
  mPrefixes.OnServed(aNow, aHolder);
  if (!isKnown)
    mReport.mHolders.push_back(aHolder);
}

void
traffic_core::OnPeerUpdate(instant aNow, peer_update const& aUpdate)
{
  for (crash_count const& crash : aUpdate.mCrashes)
    mCrashes.OnCrash(aNow, crash.mFingerprint, crash.mCount);
  for (part_crashes const& evidence :
       mSuspects.Merge(aNow, std::span{ aUpdate.mPartCrashes }))
    LogEvidence(evidence, evidence_source::Peer);
  for (prefix_holder const& holder : aUpdate.mHolders)
    mPrefixes.OnServed(aNow, holder);
  mOrigins.Merge(aNow, aUpdate.mOrigins);
  mServers.ApplyLoads(aUpdate.mLoads);
}

void
traffic_core::OnAnswer(instant aNow,
                       tracked_server& aServer,
                       model_name const& aModel,
                       server_answer const& aAnswer)
{
  aServer.mBreaker.OnSuccess();
  OnAnnouncement(aNow, aServer, aAnswer);
  if (aAnswer.mLoad)
    OnLoad(aNow, aServer, *aAnswer.mLoad);
  if (aAnswer.mVersion)
    OnWeights(aServer, aModel, *aAnswer.mVersion);
}

void
traffic_core::OnAnnouncement(instant aNow,
                             tracked_server& aServer,
                             server_answer const& aAnswer)
{
  bool const isItself = aAnswer.mServer == aServer.mRegistered.mId;
  if (aAnswer.mIsMisdirected && aAnswer.mServer && !isItself)
    OnReplaced(aServer);
  // A misdirected answer that doesn't say whose it is may be of another server
  // that has taken the address.
  if (aAnswer.mIsLeaving && (!aAnswer.mIsMisdirected || isItself))
    OnLeaving(aServer);
  if (!aAnswer.mIsMisdirected || isItself)
    OnLimit(aNow, aServer, aAnswer.mRequestsPerSecond);
  if (aAnswer.mRejectionsPerSecond && (!aAnswer.mIsMisdirected || isItself))
    OnBrittle(aNow, aServer, *aAnswer.mRejectionsPerSecond);
  if (aAnswer.mHasNoRoom)
    OnRejected(aNow, aServer);
  if (aAnswer.mPause.count() > 0)
    OnPause(aNow, aServer, aAnswer.mPause);
}

void
traffic_core::OnServerConnected()
{
  if (mReachability.OnConnected())
    LogEvent("servers_reachable", {});
}

void
traffic_core::OnServerUnreachable(instant aNow,
                                  backend_server_id const& aServer)
{
  if (!mReachability.OnUnreachable(aNow, aServer, mServers.Servers().size()))
    return;
  LogEvent("servers_unreachable",
           { { "server", aServer.Text() },
             { "peers", static_cast<std::int64_t>(mTunnelPeers.Count()) } });
  // The failures so far were this instance's, not the servers'.
  for (auto const& [id, server] : mServers.Servers())
    server->mBreaker.OnSuccess();
}

void
traffic_core::OnWeights(tracked_server& aServer,
                        model_name const& aModel,
                        std::uint64_t aVersion)
{
  if (aServer.mRegistered.RaiseVersion(aModel, aVersion))
    mReport.mWeights.push_back(
      { .mServer = aServer.mRegistered.mId,
        .mIncarnation = aServer.mRegistered.mIncarnation,
        .mModel = aModel,
        .mVersion = aVersion });
}

traffic_report
traffic_core::TakeReport(instant aNow)
{
  traffic_report report = std::exchange(mReport, {});
  report.mUsage = mQuota.Usage();
  report.mWindowUsage = mQuota.WindowUsage(aNow);
  // With one version, all streams are of that one.
  if (View(aNow)->HasMixedSoftware())
    report.mOrigins = mOrigins.TakeUnreported(aNow);
  mRollouts.TakeReport(report);
  report.mMetrics = mMeter.TakeDelta();
  return report;
}

void
traffic_core::Prune(instant aNow)
{
  mCrashes.Prune(aNow);
  mSuspects.Prune(aNow);
  mOrigins.Prune(aNow);
  mPrefixes.Prune(aNow);
  mConnections.Prune(aNow);
}

}
