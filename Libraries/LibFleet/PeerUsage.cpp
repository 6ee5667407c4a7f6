#include <LibFleet/PeerUsage.h>

#include <algorithm>

namespace lycheeseam {

void
spending_tally::OnReport(instant aNow,
                         peer_link& aLink,
                         fleet_report const& aReport)
{
  // What was admitted before this instance first heard of it lies in the
  // window that it is told of, or long ago.
  bool const isCounted =
    aLink.IsLive(aNow) && aLink.mReport.mScope == aReport.mScope;
  for (workspace_usage const& spent : aReport.mSpent) {
    workspace_usage& before = aLink.mTold[spent.mWorkspace];
    workspace_usage const added{
      .mWorkspace = spent.mWorkspace,
      .mUnits = std::max(0.0, spent.mUnits - before.mUnits),
      .mDemand = std::max(0.0, spent.mDemand - before.mDemand)
    };
    before = spent;
    if (!isCounted)
      continue;
    mSpent.Add(added);
    aLink.mCounted.Add(added);
    if (aReport.mScope == report_scope::Branch)
      mSpentByChildren.Add(added);
  }
}

usage_totals
spending_tally::SpentBesides(peer_link const& aLink) const
{
  usage_totals spent = mSpent;
  spent.Subtract(aLink.mCounted);
  return spent;
}

}
