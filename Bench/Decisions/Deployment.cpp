#include <Bench/Decisions/Deployment.h>

#include <array>
#include <chrono>

namespace lycheeseam::bench {

using namespace std::chrono_literals;

std::span<deployment const>
Deployments()
{
  static std::array const kBoth{
    deployment{ .mName = "chao-phraya",
                .mWorkers = 12,
                .mFailureDomains = 4,
                .mInstances = 8,
                .mHop = 1500us,
                .mCallerHop = 3ms,
                .mArrivalRate = 36,
                .mShares = { 0.4, 0.3, 0.1, 0.1, 0.1 } },
    deployment{ .mName = "riga",
                .mWorkers = 18,
                .mFailureDomains = 3,
                .mInstances = 7,
                .mHop = 500us,
                .mCallerHop = 1ms,
                .mArrivalRate = 54,
                .mShares = { 0.4, 0.3, 0.1, 0.1, 0.1 } },
  };
  return kBoth;
}

}
