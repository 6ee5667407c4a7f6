#include <LibFleet/PeerUsage.h>

#include <algorithm>
#include <chrono>

namespace lycheeseam {

namespace {

// An instance that is away for longer is no longer known, and its share is used
// by the others.
constexpr duration kKeptFor = std::chrono::seconds{ 30 };

// What the report over aLink continues. A root's sums go on over any link; the
// sums that others report cover other instances over another link.
bool
IsContinued(reported_usage const& aBefore, peer_link const& aLink)
{
  return aBefore.mIncarnation == aLink.mHello.mIdentity.mIncarnation &&
         (aBefore.mLinkUpAt == aLink.mUpAt ||
          aBefore.mScope == report_scope::Root);
}

}

double
peer_usage::CountedShare(instant aNow,
                         peer_link const& aLink,
                         reported_usage const& aBefore,
                         report_scope aScope) const
{
  if (aBefore.mScope != aScope)
    return 0;
  if (aLink.IsLive(aNow))
    return 1;
  if (aScope != report_scope::Root || aNow <= aBefore.mReportedAt)
    return 0;
  // A longer gap than the window is taken as filled evenly.
  std::chrono::duration<double> const gap = aNow - aBefore.mReportedAt;
  return std::min(1.0, std::chrono::duration<double>(mWindow) / gap);
}

void
peer_usage::OnReport(instant aNow,
                     peer_link& aLink,
                     fleet_report const& aReport)
{
  instance_identity const& peer = aLink.mHello.mIdentity;
  auto const [found, isFirst] = mReported.try_emplace(peer.mInstance);
  reported_usage& reported = found->second;
  // What was admitted before the first report of all is part of the window
  // usage that peers send to a new instance, or older than the window.
  double share = 0;
  if (!isFirst && IsContinued(reported, aLink))
    share = CountedShare(aNow, aLink, reported, aReport.mScope);
  else
    reported.mUsage.clear();
  reported.mIncarnation = peer.mIncarnation;
  reported.mScope = aReport.mScope;
  reported.mLinkUpAt = aLink.mUpAt;
  reported.mReportedAt = aNow;
  for (workspace_usage const& usage : aReport.mSpent) {
    workspace_usage& before = reported.mUsage[usage.mWorkspace];
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

void
peer_usage::Prune(instant aNow)
{
  std::erase_if(mReported, [aNow](auto const& aEntry) {
    return aNow - aEntry.second.mReportedAt > kKeptFor;
  });
}

usage_totals
peer_usage::Excluding(peer_link const& aLink) const
{
  usage_totals usage = mTotals;
  usage.Subtract(aLink.mCountedUsage);
  return usage;
}

}
