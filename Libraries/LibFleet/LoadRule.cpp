#include <LibFleet/LoadRule.h>
#include <LibFleet/ReportTime.h>

namespace lycheeseam {

bool
load_rule::IsNewer(observed_load const& aLoad, observed_load const& aKnown)
{
  reported_load const& load = aLoad.mLoad;
  reported_load const& known = aKnown.mLoad;
  bool const isSame = load.mRunning == known.mRunning &&
                      load.mWaiting == known.mWaiting &&
                      load.mSlowdown == known.mSlowdown;
  return load.mReportedAt >
         known.mReportedAt + (isSame ? kReportTime : duration{});
}

}
