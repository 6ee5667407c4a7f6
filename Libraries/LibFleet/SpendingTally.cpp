#include <LibFleet/SpendingTally.h>

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
  for (spent_units const& spent : aReport.mSpent) {
    spent_units& before = aLink.mTold[spent.mWorkspace];
    spent_units const added{ .mWorkspace = spent.mWorkspace,
                             .mUnits =
                               std::max(0.0, spent.mUnits - before.mUnits),
                             .mAsked =
                               std::max(0.0, spent.mAsked - before.mAsked) };
    before = spent;
    if (!isCounted)
      continue;
    Add(mSpent, added);
    Add(aLink.mCounted, added);
    if (aReport.mScope == report_scope::Branch)
      Add(mSpentByChildren, added);
  }
}

std::vector<spent_units>
spending_tally::Spent() const
{
  return List(mSpent);
}

std::vector<spent_units>
spending_tally::SpentByChildren() const
{
  return List(mSpentByChildren);
}

std::vector<spent_units>
spending_tally::SpentBesides(peer_link const& aLink) const
{
  std::vector<spent_units> spent = Spent();
  for (spent_units& units : spent) {
    auto const counted = aLink.mCounted.find(units.mWorkspace);
    if (counted == aLink.mCounted.end())
      continue;
    units.mUnits -= counted->second.mUnits;
    units.mAsked -= counted->second.mAsked;
  }
  return spent;
}

void
spending_tally::Add(totals& aTotals, spent_units const& aAdded)
{
  spent_units& total = aTotals[aAdded.mWorkspace];
  total.mWorkspace = aAdded.mWorkspace;
  total.mUnits += aAdded.mUnits;
  total.mAsked += aAdded.mAsked;
}

std::vector<spent_units>
spending_tally::List(totals const& aTotals)
{
  std::vector<spent_units> list;
  list.reserve(aTotals.size());
  for (auto const& [workspace, units] : aTotals)
    list.push_back(units);
  return list;
}

}
