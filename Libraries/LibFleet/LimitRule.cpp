#include <LibFleet/LimitRule.h>
#include <LibFleet/ReportTime.h>

namespace lycheeseam {

bool
limit_rule::IsNewer(observed_limit const& aLimit, observed_limit const& aKnown)
{
  bool const isSame = aLimit.mRequestsPerSecond == aKnown.mRequestsPerSecond;
  return aLimit.mObservedAt >
         aKnown.mObservedAt + (isSame ? kReportTime : duration{});
}

}
