#pragma once

#include <LibDispatch/WorkspaceUsage.h>

#include <map>
#include <span>
#include <vector>

namespace lycheeseam {

/// Sums usage and demand by workspace.
class usage_totals
{
public:
  void Add(workspace_usage const& aAdded);
  void Add(std::span<workspace_usage const> aAdded);

  /// Subtracts totals that were added before.
  void Subtract(usage_totals const& aTotals);

  /// The sums, sorted by workspace.
  [[nodiscard]] std::vector<workspace_usage> List() const;

private:
  std::map<workspace_id, workspace_usage> mTotals;
};

}
