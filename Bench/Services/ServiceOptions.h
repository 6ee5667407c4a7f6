#pragma once

#include <LibCore/Instant.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace lycheeseam::bench {

/// The parameters of one run of idempotent lookups against a pool of services.
struct service_options
{
  std::string mName;
  std::size_t mServers = 4;
  /// Requests that a server serves at the same time.
  std::size_t mConcurrency = 4;
  duration mMeanService = std::chrono::milliseconds{ 20 };
  /// Requests per second.
  double mArrivalRate = 400;
  /// Every ten seconds the next server pauses for this long; zero for never.
  duration mPause{};
  /// How long after the first attempt a hedge is sent; zero for never.
  duration mHedgeAfter{};
  /// The time limit of an attempt; zero for none.
  duration mTimeout{};
  std::uint32_t mMaxAttempts = 1;
  /// Retries and hedges that the retry budget earns per request.
  double mBudget = 0.1;
  /// The factor on the arrival rate from the 20th to the 30th second.
  double mSurge = 1.0;
  std::uint64_t mSeed = 1;
  duration mLength = std::chrono::seconds{ 90 };
};

}
