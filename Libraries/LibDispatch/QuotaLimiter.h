#pragma once

#include <LibCore/Instant.h>
#include <LibDispatch/FleetView.h>
#include <LibDispatch/QuotaParameters.h>
#include <LibDispatch/QuotaWindow.h>

#include <chrono>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace lycheeseam {

/// Keeps workspaces to their rate and burst over all instances.
///
/// Each instance counts its own admissions at once and those of the others
/// when they report. The share of an instance that has fallen silent is taken
/// as spent, so instances that can't see each other don't admit it twice. A
/// starting instance doesn't know what was admitted before, and takes the
/// limit as used up evenly, which leaves more than the rate but no burst,
/// until an instance that has counted for a whole window tells.
///
/// What others admitted is known late. While all instances together are asked
/// for more in that time than a window still holds, each admits only such a
/// part of what it is asked for, by chance, that together they fill it.
class quota_limiter
{
public:
  explicit quota_limiter(quota_parameters aTerms)
    : mTerms(aTerms)
    , mRandom(aTerms.mSeed)
  {
  }

  /// Takes over silent instances and reports of the others.
  void Apply(instant aNow, fleet_view const& aView);

  /// Charges a request when its workspace's rate allows it.
  [[nodiscard]] bool TryCharge(instant aNow,
                               dispatch_workspace const& aWorkspace,
                               double aUnits);

  /// Gives back the charge of a request that didn't run.
  void Refund(instant aNow, workspace_id const& aWorkspace, double aUnits);

  /// How long until a request of this size would be admitted.
  [[nodiscard]] duration WaitFor(instant aNow,
                                 dispatch_workspace const& aWorkspace,
                                 double aUnits);

  /// What was admitted in the window that ends now, over all instances.
  [[nodiscard]] double Used(instant aNow, workspace_id const& aWorkspace);

  /// The most that a window may hold, less the share of silent instances.
  [[nodiscard]] double Limit(dispatch_workspace const& aWorkspace) const;

  /// What all instances admitted in the window that ends now; empty until this
  /// one has counted for a whole window.
  [[nodiscard]] std::vector<workspace_usage> UsedByAll(instant aNow);

  /// What this instance admitted since its start.
  [[nodiscard]] std::vector<workspace_usage> Spent() const;

private:
  // Over this span it is measured how much is asked for.
  static constexpr std::chrono::seconds kPaceTime{ 1 };

  struct account
  {
    quota_window mWindow;
    quota_window mLatelyAsked{ kPaceTime };
    /// By this instance, since its start.
    double mSpent = 0;
    double mAsked = 0;
    double mSeenElsewhere = 0;
    double mAskedElsewhere = 0;
    bool mIsFilled = false;
    /// The window holds the limit rather than what was admitted.
    bool mIsAssumed = false;
  };

  using accounts = std::map<workspace_id, account>;

  account& Find(workspace_id const& aWorkspace);
  void TakeUsed(instant aNow, std::vector<workspace_usage> const& aUsed);
  [[nodiscard]] bool IsDrawn(instant aNow, account& aAccount, double aRoom);
  account& FindFilled(instant aNow, dispatch_workspace const& aWorkspace);

  quota_parameters mTerms;
  accounts mAccounts;
  /// When the limiter was first used.
  std::optional<instant> mStartedAt;
  /// The part of rates and bursts that silent instances don't hold.
  double mOpenShare = 1.0;
  duration mReportDelay{};
  std::minstd_rand mRandom;
};

}
