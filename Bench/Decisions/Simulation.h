#pragma once

#include <Bench/Decisions/Arrival.h>
#include <Bench/Decisions/FakeEngine.h>
#include <Bench/Decisions/RequestState.h>
#include <Bench/Decisions/RouterInstance.h>
#include <Bench/Decisions/SimulationOptions.h>
#include <Bench/Decisions/TokenBucket.h>
#include <Bench/Support/Scheduler.h>

#include <memory>
#include <random>
#include <span>
#include <unordered_set>
#include <vector>

namespace lycheeseam::bench {

/// Simulates several instances that route requests to fake engines, in virtual
/// time.
class simulation
{
public:
  explicit simulation(simulation_options aOptions);

  /// Runs the simulation to its end; call it only once.
  void Run();

  [[nodiscard]] std::span<arrival const> Arrivals() const { return mArrivals; }
  [[nodiscard]] std::span<request_state const> States() const
  {
    return mStates;
  }
  [[nodiscard]] std::uint64_t LookupBytes() const { return mLookupBytes; }
  [[nodiscard]] std::uint64_t EventBytes() const { return mEventBytes; }

private:
  void MakeBuckets();
  void MakeEngines();
  void MakeInstances();
  void ScheduleReports();
  void ScheduleFaults();

  // The steps of a request.
  void OnArrival(std::size_t aRequest);
  void Lookup(std::size_t aRequest);
  void UseRecentSends(std::size_t aRequest);
  void Enqueue(std::size_t aRequest);
  void AdmitQueued(std::size_t aInstance);
  void Place(std::size_t aInstance, std::size_t aRequest);
  void Submit(std::size_t aInstance, std::size_t aRequest);
  void OnFirstToken(engine_job const& aJob);
  void OnEnd(engine_job const& aJob);
  void OnFailure(std::size_t aRequest);
  void CountRecomputed(engine_job const& aJob);
  [[nodiscard]] block_answer ExactAnswer(std::size_t aRequest) const;
  [[nodiscard]] bool UsesStore() const;

  // Reports that engines publish.
  void PublishLoad(std::size_t aServer);
  void PublishEvents(std::size_t aServer);
  void DeliverEvents(std::size_t aServer,
                     std::span<cache_event const> aEvents,
                     event_sequence aSequence);

  // Shard owners and delays between nodes.
  [[nodiscard]] std::size_t OwnerOf(block_hash aRoot) const;
  [[nodiscard]] duration Hop(std::size_t aLeft, std::size_t aRight) const;
  void SendUpdate(std::size_t aRequest,
                  std::optional<token_count> aCachedTokens);

  simulation_options mOptions;
  std::mt19937_64 mRandom;
  scheduler mScheduler;
  std::vector<arrival> mArrivals;
  std::vector<request_state> mStates;
  std::vector<token_bucket> mBuckets;
  std::vector<std::unique_ptr<fake_engine>> mEngines;
  std::vector<event_sequence> mSequences;
  std::vector<router_instance> mInstances;
  std::vector<instance_id> mInstanceNames;
  lru_cache mStore;
  std::unordered_set<block_hash> mComputedBlocks;
  std::uint64_t mLookupBytes = 0;
  std::uint64_t mEventBytes = 0;
};

}
