#include <LibFleet/MakeOwnUpdate.h>

#include <utility>

namespace lycheeseam {

report_update
MakeOwnUpdate(traffic_report aReport, std::vector<observed_load> aLoads)
{
  return { .mCrashes = std::move(aReport.mCrashes),
           .mPartCrashes = std::move(aReport.mPartCrashes),
           .mLimits = std::move(aReport.mLimits),
           .mHolders = std::move(aReport.mHolders),
           .mOrigins = std::move(aReport.mOrigins),
           .mLoads = std::move(aLoads),
           .mRolloutSamples = std::move(aReport.mRolloutSamples) };
}

}
