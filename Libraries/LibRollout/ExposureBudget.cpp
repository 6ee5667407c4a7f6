#include <LibRollout/ExposureBudget.h>

#include <chrono>

namespace lycheeseam {
namespace {

// The rate may fall before the order ends.
constexpr double kCertainPart = 0.8;
// The rest of the slack is for requests that are on their way when the target
// is found bad.
constexpr double kPlannedSlack = 0.5;

}

double
exposure_budget::Total(usage const& aUsage) const
{
  double const left = std::chrono::duration<double>(aUsage.mLeft).count();
  double const expected = left > 0 ? aUsage.mRate * left * kCertainPart : 0;
  return mShare * (aUsage.mArrived + expected) + kPlannedSlack * mSlack;
}

}
