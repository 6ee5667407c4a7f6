#include <LibDispatch/DomainLoads.h>
#include <LibDispatch/EligibleServers.h>
#include <LibDispatch/ExpectedTime.h>

#include <algorithm>

namespace lycheeseam {

std::vector<domain_load>
DomainLoads(std::span<tracked_server* const> aServers, instant aNow)
{
  std::vector<domain_load> loads;
  for (tracked_server const* const server : aServers) {
    if (!IsAvailable(*server, aNow))
      continue;
    failure_domain const& domain = server->mRegistered.mDomain;
    auto found = std::find_if(
      loads.begin(), loads.end(), [&domain](domain_load const& aLoad) {
        return aLoad.mDomain == domain;
      });
    if (found == loads.end())
      found = loads.insert(loads.end(), { .mDomain = domain });
    double const capacity =
      server->mRegistered.mSlots * CurrentSpeed(server->Estimate(aNow));
    found->mCapacity += capacity;
    found->mUsed += capacity * server->Pressure(aNow);
  }
  return loads;
}

}
