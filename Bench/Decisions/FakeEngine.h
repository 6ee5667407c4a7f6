#pragma once

#include <LibCore/Identifiers.h>
#include <LibPlacement/CacheEvent.h>
#include <LibPlacement/ServerLoad.h>

#include <Bench/Decisions/EngineListener.h>
#include <Bench/Decisions/LruCache.h>
#include <Bench/Support/Scheduler.h>

#include <deque>
#include <vector>

namespace lycheeseam::bench {

/// Simulates a model engine: continuous batching with chunked prefill, and a
/// prefix cache that evicts the least recently used blocks.
class fake_engine
{
public:
  /// Prompt tokens computed per second.
  static constexpr double kPrefillRate = 16'000;
  /// Tokens imported from the KV store per second.
  static constexpr double kImportRate = 80'000;

  fake_engine(scheduler& aScheduler, engine_listener aListener);

  /// Queues a request; returns false while the engine is down.
  bool Submit(engine_job aJob);

  /// Drops all jobs and the cache; the engine is down until Restart.
  void Crash();

  /// Starts the engine after a crash, in its next incarnation.
  void Restart();

  [[nodiscard]] server_load Load() const;
  [[nodiscard]] incarnation Incarnation() const { return mIncarnation; }
  [[nodiscard]] bool IsUp() const { return mIsUp; }
  [[nodiscard]] lru_cache const& Cache() const { return mCache; }

  /// The cache's changes since the last call.
  std::vector<cache_event> TakeEvents();

private:
  void StartStep();
  void EndStep(incarnation aIncarnation);
  double Prefill();
  void Begin(engine_job& aJob);
  void EndPrefill();
  void Decode();

  scheduler& mScheduler;
  engine_listener mListener;
  lru_cache mCache;
  incarnation mIncarnation{ 1 };
  bool mIsUp = true;
  bool mIsInStep = false;
  std::deque<engine_job> mWaiting;
  std::vector<engine_job> mRunning;
  std::vector<cache_event> mEvents;
};

}
