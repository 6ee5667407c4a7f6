#include <LibFleet/CombineDrained.h>
#include <LibFleet/ComposeReport.h>
#include <LibFleet/LimitNotices.h>
#include <LibFleet/LoadNotices.h>

#include <algorithm>
#include <map>
#include <vector>

namespace lycheeseam {

namespace {

// A parent forwards to a child what came over any other link. To its parent and
// to other roots an instance forwards only what came from its children. So no
// information travels in a cycle, and none arrives twice.
bool
ForwardsLink(peer_link const& aLink,
             report_scope aScope,
             instance_id const& aTo)
{
  if (!aLink.mReportedAt)
    return false;
  if (aScope == report_scope::Rest)
    return aLink.mHello.mIdentity.mInstance != aTo;
  return aLink.IsChild();
}

bool
ForwardsUpdate(report_update const& aUpdate,
               report_scope aScope,
               instance_id const& aTo)
{
  return aScope == report_scope::Rest ? aUpdate.mFrom != aTo
                                      : aUpdate.mIsOfBranch;
}

template<typename Item>
void
Append(std::vector<Item>& aTo, std::vector<Item> const& aFrom)
{
  aTo.insert(aTo.end(), aFrom.begin(), aFrom.end());
}

// Samples with the same key become one, so that a report for many instances
// grows with their routes only.
void
AddSamples(std::vector<rollout_sample>& aTo,
           std::span<rollout_sample const> aFrom)
{
  for (rollout_sample const& sample : aFrom) {
    auto const found = std::find_if(
      aTo.begin(), aTo.end(), [&sample](rollout_sample const& aOther) {
        return aOther.HasKeyOf(sample);
      });
    if (found != aTo.end())
      *found += sample;
    else
      aTo.push_back(sample);
  }
}

// Keeps the newest lease, with the servers that its holder is updating, and the
// first reader by id of all instances that the report covers.
void
MergeLeaseAndReader(fleet_report& aReport, fleet_report const& aOther)
{
  if (aOther.mLease > aReport.mLease) {
    aReport.mLease = aOther.mLease;
    aReport.mUpdating = aOther.mUpdating;
  }
  bool const isFirst =
    aReport.mReader.IsEmpty() || aOther.mReader < aReport.mReader;
  if (!aOther.mReader.IsEmpty() && isFirst)
    aReport.mReader = aOther.mReader;
}

}

fleet_report
ComposeReport(instant aNow,
              peer_registry const& aRegistry,
              fleet_report const& aOwn,
              std::span<report_update const> aUpdates,
              report_scope aScope,
              instance_id const& aTo)
{
  fleet_report report{ .mScope = aScope,
                       .mLease = aOwn.mLease,
                       .mReader = aOwn.mReader,
                       .mUpdating = aOwn.mUpdating,
                       .mOperatorsEnd = aOwn.mOperatorsEnd,
                       .mServersEnd = aOwn.mServersEnd,
                       .mRollouts = aOwn.mRollouts,
                       .mDrained = aOwn.mDrained };
  for (auto const& [id, link] : aRegistry.Links()) {
    if (!link.IsLive(aNow) || !ForwardsLink(link, aScope, aTo))
      continue;
    MergeLeaseAndReader(report, link.mReport);
    report.mDrained = CombineDrained(report.mDrained, link.mReport.mDrained);
  }
  auto const target = aRegistry.Links().find(aTo);
  bool const isForChild =
    aScope == report_scope::Rest && target != aRegistry.Links().end();
  usage_totals usage = isForChild ? aRegistry.Usage().Excluding(target->second)
                                  : aRegistry.Usage().ByChildren();
  usage.Add(aOwn.mSpent);
  report.mSpent = usage.List();
  std::vector<observed_load> loads;
  for (report_update const& update : aUpdates) {
    if (!ForwardsUpdate(update, aScope, aTo))
      continue;
    Append(report.mCrashes, update.mCrashes);
    Append(report.mPartCrashes, update.mPartCrashes);
    Append(report.mWeights, update.mWeights);
    Append(report.mLimits, MakeLimitNotices(aNow, update.mLimits));
    Append(report.mHolders, update.mHolders);
    Append(report.mOrigins, update.mOrigins);
    Append(loads, update.mLoads);
    AddSamples(report.mRolloutSamples, update.mRolloutSamples);
  }
  report.mLoads = MakeLoadNotices(aNow, loads);
  return report;
}

void
AddEarlierState(fleet_report& aReport, fleet_report const& aOwn)
{
  aReport.mUsed = aOwn.mUsed;
  Append(aReport.mPartCrashes, aOwn.mPartCrashes);
  Append(aReport.mLimits, aOwn.mLimits);
  aReport.mSoftware = aOwn.mSoftware;
  aReport.mIsSoftwareComplete = aOwn.mIsSoftwareComplete;
}

void
AddOrigins(fleet_report& aReport, fleet_report const& aOwn)
{
  Append(aReport.mOrigins, aOwn.mOrigins);
}

fleet_roster
ComposeRoster(instant aNow,
              peer_registry const& aRegistry,
              roster_entry const& aOwn,
              report_scope aScope,
              instance_id const& aTo)
{
  // While an instance changes its parent, it is in the rosters of two links;
  // the entry of the live link is the current one.
  std::map<instance_id, roster_entry> live{ { aOwn.mHello.mIdentity.mInstance,
                                              aOwn } };
  std::map<instance_id, roster_entry> unresponsive;
  for (auto const& [id, link] : aRegistry.Links()) {
    if (!ForwardsLink(link, aScope, aTo))
      continue;
    for (roster_entry const& entry : link.mRoster.mEntries)
      (link.IsLive(aNow) ? live : unresponsive)
        .try_emplace(entry.mHello.mIdentity.mInstance, entry);
  }
  live.merge(unresponsive);
  live.erase(aTo);
  fleet_roster roster;
  roster.mEntries.reserve(live.size());
  for (auto const& [id, entry] : live)
    roster.mEntries.push_back(entry);
  return roster;
}

}
