#include <LibFleet/PeerUsage.h>

#include <algorithm>

namespace lycheeseam {

void
peer_usage::OnReport(instant aNow,
                     peer_link& aLink,
                     fleet_report const& aReport)
{
  // What was admitted before the first report over a link is part of the window
  // usage that peers send to a new instance, or older than the window.
  bool const isCounted =
    aLink.IsLive(aNow) && aLink.mReport.mScope == aReport.mScope;
  for (workspace_usage const& usage : aReport.mSpent) {
    workspace_usage& before = aLink.mReportedUsage[usage.mWorkspace];
    workspace_usage const added{
      .mWorkspace = usage.mWorkspace,
      .mUnits = std::max(0.0, usage.mUnits - before.mUnits),
      .mDemand = std::max(0.0, usage.mDemand - before.mDemand)
    };
    before = usage;
    if (!isCounted)
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
