#pragma once

#include <LibPlacement/PrefixCostOptions.h>

#include <Bench/Decisions/BenchCase.h>
#include <Bench/Decisions/Deployment.h>
#include <Bench/Decisions/FakeEngine.h>
#include <Bench/Decisions/PolicyKind.h>

#include <chrono>
#include <cstdint>

namespace lycheeseam::bench {

/// The parameters of one run: deployment, case, policy, seed and lengths.
struct simulation_options
{
  deployment mDeployment;
  bench_case mCase;
  policy_kind mPolicy = policy_kind::Full;
  std::uint64_t mSeed = 1;
  duration mLength = std::chrono::seconds{ 300 };
  /// Requests before this time aren't measured, while the caches fill.
  duration mWarmUp = std::chrono::seconds{ 30 };
  prefix_cost_options mCost{ .mPrefillRate = fake_engine::kPrefillRate,
                             .mImportRate = fake_engine::kImportRate };
  /// Requests that one instance may have outstanding on one server.
  std::uint32_t mWindow = 8;
};

}
