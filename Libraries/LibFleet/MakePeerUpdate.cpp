#include <LibFleet/MakePeerUpdate.h>

#include <utility>

namespace lycheeseam {

peer_update
MakePeerUpdate(fleet_report const& aReport, std::vector<observed_load> aLoads)
{
  return { .mCrashes = aReport.mCrashes,
           .mPartCrashes = aReport.mPartCrashes,
           .mHolders = aReport.mHolders,
           .mOrigins = aReport.mOrigins,
           .mLoads = std::move(aLoads) };
}

}
