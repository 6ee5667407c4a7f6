#pragma once

#include <LibDispatch/UsageTotals.h>
#include <LibFleet/PeerLink.h>
#include <LibFleet/ReportedUsage.h>

#include <map>
#include <vector>

namespace lycheeseam {

/// Adds up what other instances admitted, from their reports.
class peer_usage
{
public:
  /// aWindow is the quota window.
  explicit peer_usage(duration aWindow)
    : mWindow(aWindow)
  {
  }

  /// Adds what a report over aLink shows beyond the report before it. When that
  /// one had another scope, the report's figures are only recorded as the new
  /// base and nothing is counted. After a gap, as when a cut has healed, what a
  /// root admitted meanwhile counts as far as it may still lie in the window;
  /// what others admitted isn't counted, since their sums cover other instances
  /// than before.
  void OnReport(instant aNow, peer_link& aLink, fleet_report const& aReport);

  /// Forgets the reports of peers that have been away for long.
  void Prune(instant aNow);

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
  // The part of the usage since the report before that is counted, from 0 to 1.
  [[nodiscard]] double CountedShare(instant aNow,
                                    peer_link const& aLink,
                                    reported_usage const& aBefore,
                                    report_scope aScope) const;

  duration mWindow;
  std::map<instance_id, reported_usage> mReported;
  usage_totals mTotals;
  usage_totals mChildTotals;
};

}
