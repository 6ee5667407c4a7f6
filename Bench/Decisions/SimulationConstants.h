#pragma once

#include <LibCore/Instant.h>

#include <chrono>
#include <cstddef>

/// \file Delays, limits and message sizes of the simulated platform.

namespace lycheeseam::bench {

/// Delay in one direction inside a failure domain.
inline constexpr duration kNearHop = std::chrono::microseconds{ 100 };
/// How often an engine publishes its load, and how old the load is when the
/// instances receive it.
inline constexpr duration kLoadInterval = std::chrono::milliseconds{ 250 };
inline constexpr duration kLoadLag = std::chrono::milliseconds{ 200 };
/// How often an engine publishes its cache events, and how long after that the
/// instances receive them.
inline constexpr duration kEventInterval = std::chrono::milliseconds{ 100 };
inline constexpr duration kEventLag = std::chrono::milliseconds{ 300 };
/// How long a crashed worker is down.
inline constexpr duration kDownTime = std::chrono::seconds{ 3 };
/// How long the simulation continues after the last arrival.
inline constexpr duration kDrain = std::chrono::seconds{ 30 };
/// How long a request may wait for its workspace's tokens.
inline constexpr duration kRateWait = std::chrono::seconds{ 2 };
/// How long a request may wait for admission.
inline constexpr duration kQueueWait = std::chrono::seconds{ 10 };
/// A workspace's rate limit as a multiple of its usual rate.
inline constexpr double kRateHeadroom = 1.3;
/// A workspace's burst, in seconds of its rate.
inline constexpr double kBurstSeconds = 5.0;
/// The capacity of the KV store that all engines share, in blocks.
inline constexpr std::size_t kStoreBlocks = 4000;
/// The fraction of lookups that is lost.
inline constexpr double kLookupLoss = 0.005;

/// Encoded sizes in bytes: a frame's header, a block, a holder, an event and a
/// batch's header.
inline constexpr std::size_t kFrameBytes = 24;
inline constexpr std::size_t kBlockHashBytes = 8;
inline constexpr std::size_t kHolderBytes = 16;
inline constexpr std::size_t kEventBytes = 9;
inline constexpr std::size_t kBatchBytes = 40;

}
