#pragma once

#include <LibDispatch/UsageTotals.h>
#include <LibFleet/PeerLink.h>

#include <vector>

namespace lycheeseam {

/// Adds up what other instances admitted, from their reports.
class peer_usage
{
public:
  /// Adds what a report over aLink shows beyond the report before it. When that
  /// one is too old, or had another scope, the report's figures are only
  /// recorded as the new base and nothing is counted.
  void OnReport(instant aNow, peer_link& aLink, fleet_report const& aReport);

  /// All usage that was counted, by workspace.
  [[nodiscard]] std::vector<workspace_usage> Total() const
  {
    return mTotals.List();
  }

  /// The part of it that children reported.
  [[nodiscard]] usage_totals const& ByChildren() const noexcept
  {
    return mChildTotals;
  }

  /// The part of it that didn't come over aLink.
  [[nodiscard]] usage_totals Excluding(peer_link const& aLink) const;

private:
  usage_totals mTotals;
  usage_totals mChildTotals;
};

}
