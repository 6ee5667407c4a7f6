#include <Bench/Services/ServiceSimulation.h>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <array>
#include <cstdio>
#include <filesystem>
#include <fstream>

/// \file Measures hedges and retry budgets for idempotent lookups.

DEFINE_string(results, "Results", "the folder that JSON is written to");
DEFINE_uint64(seed, 1, "the seed of all runs");

namespace lycheeseam::bench {
namespace {

using namespace std::chrono_literals;

/// More retries per request than any run needs.
constexpr double kUnlimitedRetries = 1000.0;

std::array const kRuns{
  service_options{ .mName = "pauses, no hedge", .mPause = 1s },
  service_options{ .mName = "pauses, hedge after 60 ms",
                   .mPause = 1s,
                   .mHedgeAfter = 60ms,
                   .mBudget = kUnlimitedRetries },
  service_options{ .mName = "pauses, hedge after 100 ms",
                   .mPause = 1s,
                   .mHedgeAfter = 100ms,
                   .mBudget = kUnlimitedRetries },
  service_options{ .mName = "pauses, hedge after 100 ms, budget 10%",
                   .mPause = 1s,
                   .mHedgeAfter = 100ms },
  service_options{ .mName = "surge, one attempt",
                   .mTimeout = 200ms,
                   .mSurge = 2.5 },
  service_options{ .mName = "surge, three attempts",
                   .mTimeout = 200ms,
                   .mMaxAttempts = 3,
                   .mBudget = kUnlimitedRetries,
                   .mSurge = 2.5 },
  service_options{ .mName = "surge, three attempts, budget 10%",
                   .mTimeout = 200ms,
                   .mMaxAttempts = 3,
                   .mSurge = 2.5 },
};

nlohmann::json
ToJson(service_result const& aResult)
{
  return { { "run", aResult.mName },
           { "p50_ms", aResult.mP50Milliseconds },
           { "p99_ms", aResult.mP99Milliseconds },
           { "p999_ms", aResult.mP999Milliseconds },
           { "attempts_per_request", aResult.mAttemptsPerRequest },
           { "failed_percent", aResult.mFailedPercent },
           { "failed_late_percent", aResult.mFailedLatePercent } };
}

void
MeasureAll()
{
  nlohmann::json rows = nlohmann::json::array();
  std::puts("| run | p50 ms | p99 ms | p99.9 ms | attempts | failed % | "
            "failed % later |");
  std::puts("| --- | ---: | ---: | ---: | ---: | ---: | ---: |");
  for (service_options options : kRuns) {
    options.mSeed = FLAGS_seed;
    service_result const row = service_simulation{ options }.Run();
    std::printf("| %s | %.0f | %.0f | %.0f | %.3f | %.2f | %.2f |\n",
                row.mName.c_str(),
                row.mP50Milliseconds,
                row.mP99Milliseconds,
                row.mP999Milliseconds,
                row.mAttemptsPerRequest,
                row.mFailedPercent,
                row.mFailedLatePercent);
    rows.push_back(ToJson(row));
  }
  std::filesystem::create_directories(FLAGS_results);
  std::ofstream{ std::filesystem::path{ FLAGS_results } / "services.json" }
    << rows.dump(2) << '\n';
}

}
}

int
main(int aCount, char** aArguments)
{
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  lycheeseam::bench::MeasureAll();
  return 0;
}
