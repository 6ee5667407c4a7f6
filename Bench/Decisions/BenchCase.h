#pragma once

#include <LibCore/Instant.h>

#include <span>
#include <string>

namespace lycheeseam::bench {

/// What goes wrong during one run.
struct bench_case
{
  std::string mName;
  /// How many times its rate the flooding workspace sends.
  double mFlood = 1.0;
  /// The part of event batches that is lost.
  double mEventLoss = 0.0;
  /// A worker crashes this often; zero for never.
  duration mCrashEvery{};
  /// An instance restarts with nothing known this often; zero for never.
  duration mRestartEvery{};
  /// The hot prefixes move this often; zero for never.
  duration mMoveEvery{};
};

/// Every case that is measured.
std::span<bench_case const>
BenchCases();

}
