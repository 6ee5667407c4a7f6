#pragma once

#include <LibCore/Instant.h>

#include <span>
#include <string>

namespace lycheeseam::bench {

/// The faults and the load changes of one run.
struct bench_case
{
  std::string mName;
  /// The factor on the request rate of the flooding workspace.
  double mFlood = 1.0;
  /// The fraction of event batches that is lost.
  double mEventLoss = 0.0;
  /// The interval between crashes of a worker; zero for never.
  duration mCrashInterval{};
  /// The interval at which an instance loses its block map, as by a restart;
  /// zero for never.
  duration mRestartInterval{};
  /// The interval at which other prefixes become the most used; zero for never.
  duration mMoveInterval{};
};

/// All cases that are measured.
std::span<bench_case const>
BenchCases();

}
