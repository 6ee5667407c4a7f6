#pragma once

#include <LibCore/Instant.h>
#include <LibDispatch/ChargeKind.h>
#include <LibDispatch/FleetView.h>
#include <LibDispatch/QuotaPacing.h>
#include <LibDispatch/QuotaParameters.h>
#include <LibDispatch/QuotaWindow.h>

#include <chrono>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace lycheeseam {

/// Enforces each workspace's rate and burst over all instances together.
///
/// Each instance counts its own admissions at once and those of the others as
/// they report them. The share of an unresponsive instance counts as used, so
/// that instances on both sides of a partition don't admit it twice. For the
/// same reason an instance without a fresh view keeps to its own share. A
/// starting instance doesn't know the earlier usage: until a view brings the
/// window usage of the instances, it assumes that the limit was used up evenly
/// over the window. While that assumed usage leaves the window, its units are
/// admitted again, which is more than the rate but no burst. Until it has
/// counted for a full window itself, its count follows the highest count of the
/// instances that have.
///
/// Reports of other instances are delayed. While the demand on all instances
/// during this delay exceeds what the window has left, each instance admits a
/// random sample of its requests, so that together they just fill the window.
///
/// Near the limit, part of the headroom is kept for small requests as far as
/// the workspace sends any: a large prompt takes the units of many of them.
///
/// A paced workspace that asks for more than its rate is slowed as its window
/// fills, down to what leaves the window. Without that it fills the window in a
/// burst and is refused for seconds, also once it asks for its rate again.
///
/// A resumption continues work that was admitted before. It is counted, and
/// refused only when the limit is used up that holds with all instances.
class quota_limiter
{
public:
  explicit quota_limiter(quota_parameters aParameters)
    : mParameters(aParameters)
    , mRandom(aParameters.mSeed)
  {
  }

  /// Updates the unresponsive instances and the usage of the others.
  void Apply(instant aNow, fleet_view const& aView);

  /// Charges a request to its workspace; false when that would exceed the limit
  /// or the random sample leaves the request out.
  [[nodiscard]] bool TryCharge(instant aNow,
                               dispatch_workspace const& aWorkspace,
                               double aUnits,
                               charge_kind aKind = charge_kind::NewRequest,
                               quota_pacing aPacing = quota_pacing::Unpaced);

  /// Refunds the charge of a request that didn't run.
  void Refund(instant aNow, workspace_id const& aWorkspace, double aUnits);

  /// How long until the limit admits a request of aUnits.
  [[nodiscard]] duration WaitFor(instant aNow,
                                 dispatch_workspace const& aWorkspace,
                                 double aUnits,
                                 quota_pacing aPacing = quota_pacing::Unpaced);

  /// Units that all instances admitted in the window that ends now.
  [[nodiscard]] double Used(instant aNow, workspace_id const& aWorkspace);

  /// The units that a window may hold, less the share of unresponsive
  /// instances.
  [[nodiscard]] double Limit(dispatch_workspace const& aWorkspace) const;

  /// The units that a window may hold with resumptions.
  [[nodiscard]] double ResumptionLimit(
    dispatch_workspace const& aWorkspace) const;

  /// Usage of all instances in the window that ends now; empty until this
  /// instance has counted for a full window.
  [[nodiscard]] std::vector<workspace_usage> WindowUsage(instant aNow);

  /// Usage and demand on this instance since its start.
  [[nodiscard]] std::vector<workspace_usage> Usage() const;

private:
  /// Rate and burst in a window, in units.
  [[nodiscard]] double UnitsPerWindow(
    dispatch_workspace const& aWorkspace) const;

  // The demand is measured over this time.
  static constexpr std::chrono::seconds kDemandTime{ 1 };

  struct account
  {
    quota_window mWindow;
    quota_window mRecentDemand{ kDemandTime };
    /// The part of it that small requests asked this instance for.
    quota_window mSmallDemand{ kDemandTime };
    /// What this instance admitted of small requests.
    quota_window mSmallAdmitted;
    /// Admitted by this instance since its start, in units.
    double mUsage = 0;
    /// Requested from this instance since its start, admitted or not, in units.
    double mDemand = 0;
    /// Usage and demand of the other instances in the latest view, in units.
    double mPeerUsage = 0;
    double mPeerDemand = 0;
    /// True when the window holds the usage before the start, known or assumed,
    /// or no longer reaches back that far.
    bool mIsInitialized = false;
    /// True when the window holds the assumed limit rather than known usage.
    bool mIsAssumed = false;
  };

  using accounts = std::map<workspace_id, account>;

  account& Find(workspace_id const& aWorkspace);
  /// True until this instance has counted for a full window.
  [[nodiscard]] bool IsInFirstWindow(instant aNow) const;
  /// Replaces the assumed usage of workspaces by known usage.
  void ReplaceAssumedUsage(instant aNow,
                           std::vector<workspace_usage> const& aUsage);
  /// Adds what the other instances admitted since the last view.
  void AddPeerUsage(instant aNow, std::vector<workspace_usage> const& aUsage);
  /// Raises the windows to the usage that other instances count.
  void RaiseToWindowUsage(instant aNow,
                          std::vector<workspace_usage> const& aUsage);
  /// Sets the shares of all other instances aside while the newest view is too
  /// old to tell what they admit.
  void KeepToOwnShareIfStale(instant aNow);
  /// The units to keep for the small requests of all instances.
  [[nodiscard]] double ReserveForSmall(instant aNow, account& aAccount) const;
  /// The part of the headroom that a new request of aUnits may use.
  [[nodiscard]] double UsableHeadroom(instant aNow,
                                      account& aAccount,
                                      double aLimit,
                                      double aUnits) const;
  /// The demand of all instances for units that a request of aUnits competes
  /// with, in kDemandTime.
  [[nodiscard]] double CompetingDemand(instant aNow,
                                       account& aAccount,
                                       double aLimit,
                                       double aUnits) const;
  /// True when the limit admits a request of aUnits now.
  [[nodiscard]] bool IsAdmitted(instant aNow,
                                account& aAccount,
                                dispatch_workspace const& aWorkspace,
                                double aUnits,
                                charge_kind aKind,
                                quota_pacing aPacing);
  /// The part of the demand that a paced workspace may have, from 0 to 1.
  [[nodiscard]] static double PacedPart(instant aNow,
                                        account& aAccount,
                                        double aDemand,
                                        double aHeadroom);
  /// Decides at random whether to admit a request; true when the headroom
  /// covers the demand that reports don't show yet.
  [[nodiscard]] bool IsSampled(double aRecentDemand, double aHeadroom);
  account& FindInitialized(instant aNow, dispatch_workspace const& aWorkspace);

  quota_parameters mParameters;
  accounts mAccounts;
  /// When this instance began to count.
  std::optional<instant> mStartedAt;
  std::uint32_t mInstances = 1;
  /// When the newest view was applied.
  instant mAppliedAt{};
  /// The part of the limits that isn't set aside for unresponsive instances,
  /// from 0 to 1.
  double mAvailableShare = 1.0;
  duration mReportDelay{};
  std::minstd_rand mRandom;
};

}
