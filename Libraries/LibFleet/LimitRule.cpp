#include <LibFleet/LimitRule.h>
#include <LibFleet/ReportTime.h>

namespace lycheeseam {

bool
limit_rule::IsNewer(observed_limit const& aLimit, observed_limit const& aKnown)
{
  if (aLimit.mServer.mIncarnation != aKnown.mServer.mIncarnation)
    return aLimit.mServer.mIncarnation > aKnown.mServer.mIncarnation;
  bool const isSame = aLimit.mRequestsPerSecond == aKnown.mRequestsPerSecond;
  return aLimit.mObservedAt >
         aKnown.mObservedAt + (isSame ? kReportTime : duration{});
}

}
