#pragma once

#include <LibCore/Instant.h>

namespace lycheeseam {

/// How many requests the target of an order may get while it isn't known to be
/// good: a share of all requests from the order to its end, plus a slack.
class exposure_budget
{
public:
  /// What has happened since the order.
  struct usage
  {
    /// Requests that reached the pool.
    double mArrived = 0;
    /// Requests of these that were sent to the target.
    double mSent = 0;
    /// Requests per second that are expected from now on.
    double mRate = 0;
    /// The time until the order's end.
    duration mLeft{};
  };

  exposure_budget(double aShare, double aSlack)
    : mShare(aShare)
    , mSlack(aSlack)
  {
  }

  /// All requests that the target may get until the order's end.
  [[nodiscard]] double Total(usage const& aUsage) const;

  /// How many of them are left.
  [[nodiscard]] double Left(usage const& aUsage) const
  {
    return Total(aUsage) - aUsage.mSent;
  }

private:
  double mShare;
  double mSlack;
};

}
