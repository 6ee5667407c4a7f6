#pragma once

#include <LibCore/Instant.h>

#include <chrono>
#include <cstddef>

/// \file The platform's habits in the runs.

namespace lycheeseam::bench {

/// One way inside a failure domain.
inline constexpr duration kNearHop = std::chrono::microseconds{ 100 };
inline constexpr duration kLoadEvery = std::chrono::milliseconds{ 250 };
inline constexpr duration kLoadLag = std::chrono::milliseconds{ 200 };
inline constexpr duration kEventsEvery = std::chrono::milliseconds{ 100 };
inline constexpr duration kEventLag = std::chrono::milliseconds{ 300 };
/// How long a crashed worker is away.
inline constexpr duration kDownTime = std::chrono::seconds{ 3 };
/// What runs on after the last arrival.
inline constexpr duration kDrain = std::chrono::seconds{ 30 };
/// How long a request may wait for its workspace's tokens.
inline constexpr duration kRateWait = std::chrono::seconds{ 2 };
/// How long a request may wait for admission.
inline constexpr duration kQueueWait = std::chrono::seconds{ 10 };
/// A workspace's rate beside what it usually sends.
inline constexpr double kRateHeadroom = 1.3;
/// A workspace's burst, in seconds of its rate.
inline constexpr double kBurstSeconds = 5.0;
inline constexpr std::size_t kStoreBlocks = 4000;
/// The part of lookups that is lost.
inline constexpr double kLookupLoss = 0.005;

/// Sizes on the wire: a framed message, a block, a holder, an event, a batch.
inline constexpr std::size_t kFrameBytes = 24;
inline constexpr std::size_t kBlockHashBytes = 8;
inline constexpr std::size_t kHolderBytes = 16;
inline constexpr std::size_t kEventBytes = 9;
inline constexpr std::size_t kBatchBytes = 40;

}
