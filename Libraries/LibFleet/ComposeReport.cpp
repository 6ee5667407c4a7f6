#include <LibFleet/ComposeReport.h>

#include <algorithm>
#include <map>
#include <vector>

namespace lycheeseam {

namespace {

// What came over a link is told on to a child by its parent unless the child
// told it, and to others only if it came from a child: so nothing is told in a
// ring, and nothing twice.
bool
SpeaksFor(peer_link const& aLink, report_scope aScope, instance_id const& aTo)
{
  if (!aLink.mReportedAt)
    return false;
  if (aScope == report_scope::Rest)
    return aLink.mHello.mIdentity.mInstance != aTo;
  return aLink.IsChild();
}

bool
IsToldOn(report_news const& aNews, report_scope aScope, instance_id const& aTo)
{
  return aScope == report_scope::Rest ? aNews.mFrom != aTo : aNews.mIsOfBranch;
}

template<typename Item>
void
Append(std::vector<Item>& aTo, std::vector<Item> const& aFrom)
{
  aTo.insert(aTo.end(), aFrom.begin(), aFrom.end());
}

// The newest lease and the first reader of those that the report speaks for.
void
AddStanding(fleet_report& aReport, fleet_report const& aOther)
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
              peer_book const& aBook,
              fleet_report const& aOwn,
              std::span<report_news const> aNews,
              report_scope aScope,
              instance_id const& aTo)
{
  fleet_report report{ .mScope = aScope,
                       .mLease = aOwn.mLease,
                       .mReader = aOwn.mReader,
                       .mUpdating = aOwn.mUpdating,
                       .mOperatorsEnd = aOwn.mOperatorsEnd };
  for (auto const& [id, link] : aBook.Links()) {
    if (link.IsLive(aNow) && SpeaksFor(link, aScope, aTo))
      AddStanding(report, link.mReport);
  }
  auto const target = aBook.Links().find(aTo);
  bool const isRest =
    aScope == report_scope::Rest && target != aBook.Links().end();
  usage_totals spent = isRest ? aBook.Spending().SpentBesides(target->second)
                              : aBook.Spending().SpentByChildren();
  spent.Add(aOwn.mSpent);
  report.mSpent = spent.List();
  for (report_news const& news : aNews) {
    if (!IsToldOn(news, aScope, aTo))
      continue;
    Append(report.mCrashes, news.mCrashes);
    Append(report.mWeights, news.mWeights);
    Append(report.mHolders, news.mHolders);
  }
  return report;
}

fleet_roster
ComposeRoster(instant aNow,
              peer_book const& aBook,
              roster_entry const& aOwn,
              report_scope aScope,
              instance_id const& aTo)
{
  // While an instance changes its parent it stands behind two links, of which
  // the live one tells the truth.
  std::map<instance_id, roster_entry> live{ { aOwn.mHello.mIdentity.mInstance,
                                              aOwn } };
  std::map<instance_id, roster_entry> silent;
  for (auto const& [id, link] : aBook.Links()) {
    if (!SpeaksFor(link, aScope, aTo))
      continue;
    for (roster_entry const& entry : link.mRoster.mEntries)
      (link.IsLive(aNow) ? live : silent)
        .try_emplace(entry.mHello.mIdentity.mInstance, entry);
  }
  live.merge(silent);
  live.erase(aTo);
  fleet_roster roster;
  roster.mEntries.reserve(live.size());
  for (auto const& [id, entry] : live)
    roster.mEntries.push_back(entry);
  return roster;
}

}
