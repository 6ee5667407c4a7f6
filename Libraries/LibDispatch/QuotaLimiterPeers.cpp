#include <LibDispatch/QuotaLimiter.h>

#include <algorithm>

// What other instances admitted, as views bring it.

namespace lycheeseam {

void
quota_limiter::ReplaceAssumedUsage(instant aNow,
                                   std::vector<workspace_usage> const& aUsage)
{
  if (!IsInFirstWindow(aNow))
    return;
  for (workspace_usage const& usage : aUsage) {
    account& found = Find(usage.mWorkspace);
    if (found.mIsInitialized && !found.mIsAssumed)
      continue;
    found.mWindow = quota_window{ mParameters.mWindow };
    found.mWindow.AddEvenly(aNow, usage.mUnits);
    found.mIsInitialized = true;
    found.mIsAssumed = false;
  }
}

// A total doesn't show when in the window its units were admitted, and misses
// what a peer admits between the count of that total and the peer's first
// report over a new link. Both make a new instance count too little, until the
// units of that time have left the window.
void
quota_limiter::RaiseToWindowUsage(instant aNow,
                                  std::vector<workspace_usage> const& aUsage)
{
  if (!IsInFirstWindow(aNow))
    return;
  for (workspace_usage const& usage : aUsage) {
    quota_window& window = Find(usage.mWorkspace).mWindow;
    window.Add(aNow, std::max(0.0, usage.mUnits - window.Sum(aNow)));
  }
}

void
quota_limiter::Apply(instant aNow, fleet_view const& aView)
{
  if (!mStartedAt && aView.mConfig)
    mStartedAt = aNow;
  mReportDelay = aView.mReportDelay;
  mInstances = aView.mInstances;
  mAppliedAt = aNow;
  mAvailableShare =
    static_cast<double>(aView.mInstances - aView.mUnresponsiveInstances) /
    aView.mInstances;
  ReplaceAssumedUsage(aNow, aView.mWindowUsage);
  ReplaceAssumedUsage(aNow, aView.mStoredUsage);
  AddPeerUsage(aNow, aView.mPeerUsage);
  RaiseToWindowUsage(aNow, aView.mWindowUsage);
}

void
quota_limiter::AddPeerUsage(instant aNow,
                            std::vector<workspace_usage> const& aUsage)
{
  for (workspace_usage const& usage : aUsage) {
    account& found = Find(usage.mWorkspace);
    // The sum falls when an instance is removed from it, which refunds nothing.
    found.mWindow.Add(aNow, std::max(0.0, usage.mUnits - found.mPeerUsage));
    found.mPeerUsage = usage.mUnits;
    found.mRecentDemand.Add(aNow,
                            std::max(0.0, usage.mDemand - found.mPeerDemand));
    found.mPeerDemand = usage.mDemand;
  }
}

}
