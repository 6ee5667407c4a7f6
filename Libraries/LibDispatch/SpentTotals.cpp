#include <LibDispatch/SpentTotals.h>

namespace lycheeseam {

void
spent_totals::Add(spent_units const& aAdded)
{
  spent_units& total = mTotals[aAdded.mWorkspace];
  total.mWorkspace = aAdded.mWorkspace;
  total.mUnits += aAdded.mUnits;
  total.mAsked += aAdded.mAsked;
}

void
spent_totals::Add(std::span<spent_units const> aAdded)
{
  for (spent_units const& added : aAdded)
    Add(added);
}

void
spent_totals::Subtract(spent_totals const& aTotals)
{
  for (auto const& [workspace, units] : aTotals.mTotals)
    Add({ .mWorkspace = workspace,
          .mUnits = -units.mUnits,
          .mAsked = -units.mAsked });
}

std::vector<spent_units>
spent_totals::List() const
{
  std::vector<spent_units> list;
  list.reserve(mTotals.size());
  for (auto const& [workspace, units] : mTotals)
    list.push_back(units);
  return list;
}

}
