#include <Bench/Decisions/BenchCase.h>
#include <Bench/Decisions/SimulationConstants.h>

#include <array>
#include <chrono>

namespace lycheeseam::bench {

using namespace std::chrono_literals;

std::span<bench_case const>
BenchCases()
{
  static std::array const kAll{
    bench_case{ .mName = "steady" },
    bench_case{ .mName = "at-rate", .mFlood = kRateHeadroom },
    bench_case{ .mName = "flood", .mFlood = 5.0 * kRateHeadroom },
    bench_case{ .mName = "crash", .mCrashInterval = 60s },
    bench_case{
      .mName = "loss-crash", .mEventLoss = 0.2, .mCrashInterval = 60s },
    bench_case{ .mName = "loss-crash-restart",
                .mEventLoss = 0.2,
                .mCrashInterval = 60s,
                .mRestartInterval = 60s },
    bench_case{ .mName = "moving", .mMoveInterval = 20s },
  };
  return kAll;
}

}
