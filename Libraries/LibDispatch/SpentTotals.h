#pragma once

#include <LibDispatch/SpentUnits.h>

#include <map>
#include <span>
#include <vector>

namespace lycheeseam {

/// Adds up what was admitted and asked for, by workspace.
class spent_totals
{
public:
  void Add(spent_units const& aAdded);
  void Add(std::span<spent_units const> aAdded);

  /// Takes back what was added before.
  void Subtract(spent_totals const& aTotals);

  /// The sums, sorted by workspace.
  [[nodiscard]] std::vector<spent_units> List() const;

private:
  std::map<workspace_id, spent_units> mTotals;
};

}
