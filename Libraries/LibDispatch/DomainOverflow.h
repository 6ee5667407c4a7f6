#pragma once

#include <LibDispatch/DomainLoad.h>
#include <LibDispatch/OverflowRules.h>

#include <optional>
#include <span>

namespace lycheeseam {

/// Decides for one pool which share of the requests that may run anywhere
/// leaves the home domain. All instances of a domain compute nearly the same
/// share from the same facts, and apply it to each request by chance, so that
/// it doesn't depend on their number.
class domain_overflow
{
public:
  explicit domain_overflow(overflow_rules const& aRules = {})
    : mRules(aRules)
  {
  }

  /// Takes over the loads of all domains that have available servers. A home
  /// domain without any needs no share: all servers count as home.
  void Update(instant aNow,
              failure_domain const& aHome,
              std::span<domain_load const> aLoads);

  /// From 0 to 1.
  [[nodiscard]] double Share() const noexcept { return mShare; }

private:
  [[nodiscard]] double ShareFor(double aUse) const;
  // Enters and leaves the dead band.
  void UpdateLeaving(instant aNow, double aUse);

  overflow_rules mRules;
  double mShare = 0;
  bool mIsLeaving = false;
  std::optional<instant> mLowSince;
  std::optional<instant> mUpdatedAt;
};

}
