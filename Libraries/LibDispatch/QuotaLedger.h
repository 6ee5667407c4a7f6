#pragma once

#include <LibCore/Instant.h>
#include <LibDispatch/FleetView.h>
#include <LibDispatch/QuotaTerms.h>

#include <map>
#include <vector>

namespace lycheeseam {

/// Keeps workspaces to their rate and burst over all instances.
///
/// Each instance counts its own admissions at once and those of the others
/// when they report. The share of an instance that has fallen silent is taken
/// as spent, so instances that can't see each other don't admit it twice.
class quota_ledger
{
public:
  explicit quota_ledger(quota_terms aTerms)
    : mTerms(aTerms)
  {
  }

  /// Takes over limits, silent instances and reports of the others.
  void Apply(instant aNow, fleet_view const& aView);

  /// Charges a request when its workspace's rate allows it.
  [[nodiscard]] bool TryCharge(instant aNow,
                               dispatch_workspace const& aWorkspace,
                               double aUnits);

  /// Gives back the charge of a request that didn't run.
  void Refund(workspace_id const& aWorkspace, double aUnits);

  /// How long until a request of this size would be admitted.
  [[nodiscard]] duration WaitFor(workspace_id const& aWorkspace,
                                 double aUnits) const;

  /// What this instance admitted since its start.
  [[nodiscard]] std::vector<spent_units> Spent() const;

private:
  struct account
  {
    double mRate = 0;
    double mBurst = 0;
    double mLevel = 0;
    double mSpent = 0;
    double mSeenElsewhere = 0;
    instant mFilledAt{};
  };

  void Fill(account& aAccount, instant aNow) const;

  quota_terms mTerms;
  std::map<workspace_id, account> mAccounts;
  /// The part of rates and bursts that silent instances don't hold.
  double mOpenShare = 1.0;
};

}
