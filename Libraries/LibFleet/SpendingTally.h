#pragma once

#include <LibDispatch/SpentUnits.h>
#include <LibFleet/PeerLink.h>

#include <map>
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
  [[nodiscard]] std::vector<spent_units> Spent() const;

  /// The part of it that came from children.
  [[nodiscard]] std::vector<spent_units> SpentByChildren() const;

  /// The part of it that didn't come over this link.
  [[nodiscard]] std::vector<spent_units> SpentBesides(
    peer_link const& aLink) const;

private:
  using totals = std::map<workspace_id, spent_units>;

  static void Add(totals& aTotals, spent_units const& aAdded);
  static std::vector<spent_units> List(totals const& aTotals);

  totals mSpent;
  totals mSpentByChildren;
};

}
