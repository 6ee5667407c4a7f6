#include <LibGateway/TrafficCore.h>

#include <utility>

namespace lycheeseam {

namespace {

// Instances count repeats by themselves; what is kept back covers requests
// that one of them counts in another window than their server does.
constexpr double kRetryCaution = 0.8;

}

traffic_core::traffic_core(gateway_options const& aOptions,
                           published<fleet_view> const& aPublished)
  : mOptions(aOptions)
  , mPublished(aPublished)
  , mView(std::make_shared<fleet_view const>())
  , mQuota(aOptions.mQuota)
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
    for (allowances::value_type& allowance : mAllowances)
      allowance.second.SetOptions(AllowanceOptions());
  }
  mServers.Apply(*mView);
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
traffic_core::AllowanceOptions() const
{
  double const slack = kRetryCaution * mOptions.mRetrySlack / mView->mInstances;
  // Half of the slack may be saved up, half is earned within a window, so that
  // no window sees more than the whole.
  return { .mRetriesPerRequest = kRetryCaution * mOptions.mRetryRatio,
           .mMaxAvailable = slack / 2,
           .mRetriesPerSecond =
             slack / 2 / static_cast<double>(mOptions.mRetryWindow.count()) };
}

retry_budget&
traffic_core::Allowance(pool_name const& aPool)
{
  return mAllowances.try_emplace(aPool, AllowanceOptions()).first->second;
}

void
traffic_core::OnFirstAttempt(pool_name const& aPool)
{
  Allowance(aPool).OnRequest();
}

bool
traffic_core::TryRepeat(instant aNow, pool_name const& aPool)
{
  retry_budget& allowance = Allowance(aPool);
  allowance.Refill(aNow);
  if (allowance.TrySpend())
    return true;
  mMeter.OnRepeatDenied(aPool);
  return false;
}

void
traffic_core::OnCrash(instant aNow, std::uint64_t aFingerprint)
{
  mCrashes.OnCrash(aNow, aFingerprint);
  mReport.mCrashes.push_back({ .mFingerprint = aFingerprint, .mCount = 1 });
}

void
traffic_core::OnAbsent(tracked_server& aServer)
{
  aServer.mRegistered.mStage = server_stage::Leaving;
  mReport.mGone.push_back({ .mServer = aServer.mRegistered.mId,
                            .mIncarnation = aServer.mRegistered.mIncarnation });
}

void
traffic_core::OnServed(instant aNow, prefix_holder const& aHolder)
{
  mPrefixes.OnServed(aNow, aHolder);
  mReport.mHolders.push_back(aHolder);
}

void
traffic_core::OnPeerUpdate(instant aNow, peer_update const& aNews)
{
  for (crash_count const& crash : aNews.mCrashes)
    mCrashes.OnCrash(aNow, crash.mFingerprint, crash.mCount);
  for (prefix_holder const& holder : aNews.mHolders)
    mPrefixes.OnServed(aNow, holder);
}

void
traffic_core::OnAnswer(instant aNow,
                       tracked_server& aServer,
                       model_name const& aModel,
                       server_answer const& aAnswer)
{
  aServer.mBreaker.OnSuccess();
  if (aAnswer.mIsMisdirected && aAnswer.mServer &&
      *aAnswer.mServer != aServer.mRegistered.mId)
    OnAbsent(aServer);
  if (aAnswer.mLoad) {
    aServer.mLoad = aAnswer.mLoad;
    aServer.mLoad->mReportedAt = aNow;
    aServer.mInFlightAtLoad = aServer.mInFlight;
  }
  if (aAnswer.mVersion)
    OnWeights(aServer, aModel, *aAnswer.mVersion);
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
  report.mSpent = mQuota.Usage();
  report.mUsed = mQuota.WindowUsage(aNow);
  report.mMetrics = mMeter.TakeDelta();
  return report;
}

void
traffic_core::Prune(instant aNow)
{
  mCrashes.Prune(aNow);
  mPrefixes.Prune(aNow);
  mChannels.Prune(aNow);
}

}
