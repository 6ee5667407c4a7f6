#pragma once

#include <LibDispatch/UsageTotals.h>
#include <LibFleet/PeerLink.h>

#include <vector>

namespace lycheeseam {

/// Adds up what other instances admitted, as their reports tell it.
class spending_tally
{
public:
  /// Takes a report of a link. What it tells is only remembered, not counted,
  /// when the report before it was too long ago or told of others.
  void OnReport(instant aNow, peer_link& aLink, fleet_report const& aReport);

  /// All that was counted.
  [[nodiscard]] std::vector<workspace_usage> Spent() const
  {
    return mSpent.List();
  }

  /// The part of it that came from children.
  [[nodiscard]] usage_totals const& SpentByChildren() const noexcept
  {
    return mSpentByChildren;
  }

  /// The part of it that didn't come over this link.
  [[nodiscard]] usage_totals SpentBesides(peer_link const& aLink) const;

private:
  usage_totals mSpent;
  usage_totals mSpentByChildren;
};

}
