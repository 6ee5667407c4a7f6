#pragma once

#include <LibCore/Instant.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace lycheeseam::bench {

/// One run of idempotent lookups against a pool of plain services.
struct service_options
{
  std::string mName;
  std::size_t mServers = 4;
  /// Requests that a server works on at once.
  std::size_t mLanes = 4;
  duration mMeanService = std::chrono::milliseconds{ 20 };
  double mArrivalRate = 400;
  /// A server answers nothing for this long, every ten seconds in turn.
  duration mPause{};
  /// When a second copy is sent; zero for never.
  duration mHedgeAfter{};
  /// When an attempt is given up; zero for never.
  duration mTimeout{};
  std::uint32_t mMaxAttempts = 1;
  /// Retries and hedges earned by each request.
  double mBudget = 0.1;
  /// How many times the rate arrives from the 20th to the 30th second.
  double mSurge = 1.0;
  std::uint64_t mSeed = 1;
  duration mLength = std::chrono::seconds{ 90 };
};

}
