#include <LibDispatch/UsageTotals.h>

namespace lycheeseam {

void
usage_totals::Add(workspace_usage const& aAdded)
{
  workspace_usage& total = mTotals[aAdded.mWorkspace];
  total.mWorkspace = aAdded.mWorkspace;
  total.mUnits += aAdded.mUnits;
  total.mDemand += aAdded.mDemand;
}

void
usage_totals::Add(std::span<workspace_usage const> aAdded)
{
  for (workspace_usage const& added : aAdded)
    Add(added);
}

void
usage_totals::Subtract(usage_totals const& aTotals)
{
  for (auto const& [workspace, units] : aTotals.mTotals)
    Add({ .mWorkspace = workspace,
          .mUnits = -units.mUnits,
          .mDemand = -units.mDemand });
}

std::vector<workspace_usage>
usage_totals::List() const
{
  std::vector<workspace_usage> list;
  list.reserve(mTotals.size());
  for (auto const& [workspace, units] : mTotals)
    list.push_back(units);
  return list;
}

}
