#pragma once

#include <LibCore/Instant.h>

#include <chrono>

namespace lycheeseam {

/// The pace of a rolling update of engines to the target weights.
struct rolling_update_timing
{
  /// From reporting to peers that a server is being updated until its order:
  /// the time that a message between instances takes, with some margin.
  duration mNoticeTime = std::chrono::milliseconds{ 60 };
  /// The share of a pool that may be updated at a time while few of its servers
  /// have the target weights.
  double mInitialShare = 0.25;
  /// The share of a pool that may be updated at a time once mInitialShare of
  /// its servers have the target weights.
  double mLaterShare = 0.34;
  /// From an order to the first request of the server's state; an engine loads
  /// no faster.
  duration mFirstStateRequestDelay = std::chrono::milliseconds{ 450 };
  duration mStateRequestInterval = std::chrono::milliseconds{ 150 };
  /// From an order to its retry when it had no effect, and from the answer that
  /// refused or fenced an order to its retry.
  duration mRetryDelay = std::chrono::milliseconds{ 1'500 };
  /// From an answer that the engine is busy to the next request of its state.
  duration mBusyDelay = std::chrono::milliseconds{ 400 };
};

}
