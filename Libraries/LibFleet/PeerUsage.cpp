#include <LibFleet/PeerUsage.h>

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

namespace lycheeseam {

double
peer_usage::CountedShare(instant aNow,
                         peer_link const& aLink,
                         report_scope aScope) const
{
  if (aLink.mReportedAt && aLink.mReport.mScope != aScope)
    return 0;
  if (aLink.IsLive(aNow))
    return 1;
  if (aScope != report_scope::Root)
    return 0;
  std::optional<instant> before = aLink.mReportedAt;
  if (!before && aLink.mEarlier)
    before = aLink.mEarlier->mReportedAt;
  if (!before || aNow <= *before)
    return 0;
  // A longer gap than the window is taken as filled evenly.
  std::chrono::duration<double> const gap = aNow - *before;
  return std::min(1.0, std::chrono::duration<double>(mWindow) / gap);
}

void
peer_usage::OnReport(instant aNow,
                     peer_link& aLink,
                     fleet_report const& aReport)
{
  // What was admitted before the first report of all is part of the window
  // usage that peers send to a new instance, or older than the window.
  double const share = CountedShare(aNow, aLink, aReport.mScope);
  if (aLink.mEarlier)
    aLink.mReportedUsage = std::exchange(aLink.mEarlier, std::nullopt)->mUsage;
  for (workspace_usage const& usage : aReport.mSpent) {
    workspace_usage& before = aLink.mReportedUsage[usage.mWorkspace];
    workspace_usage const added{
      .mWorkspace = usage.mWorkspace,
      .mUnits = share * std::max(0.0, usage.mUnits - before.mUnits),
      .mDemand = share * std::max(0.0, usage.mDemand - before.mDemand)
    };
    before = usage;
    if (share == 0)
      continue;
    mTotals.Add(added);
    aLink.mCountedUsage.Add(added);
    if (aReport.mScope == report_scope::Branch)
      mChildTotals.Add(added);
  }
}

usage_totals
peer_usage::Excluding(peer_link const& aLink) const
{
  usage_totals usage = mTotals;
  usage.Subtract(aLink.mCountedUsage);
  return usage;
}

}
