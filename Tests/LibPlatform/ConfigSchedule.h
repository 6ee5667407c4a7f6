#pragma once

#include <Tests/LibConfigLog/ConfigSamples.h>
#include <Tests/Support/ConfigInstance.h>
#include <Tests/Support/ConfigReference.h>

#include <memory>
#include <random>
#include <string>
#include <vector>

namespace lycheeseam {

/// One random schedule: instances make conflicting changes to the same few rows
/// while the log and the instances fail. The seed determines all of it.
class config_schedule
{
public:
  explicit config_schedule(std::uint64_t aSeed);

  /// Runs with faults, then without them until the instances have caught up.
  void Run();

  /// Checks the instances' final state and the reported outcomes.
  void CheckEnd();

  /// How often an instance skipped offsets by loading a checkpoint or snapshot,
  /// over all incarnations.
  [[nodiscard]] std::size_t Jumps() const { return mJumps; }

private:
  static constexpr std::size_t kInstances = 4;

  struct reported_outcome
  {
    append_outcome mOutcome;
    std::optional<proposal_outcome> mVerdict;
  };

  void Start(std::size_t aIndex);
  void OnState(std::size_t aIndex, config_instance::state const& aState);
  void Every(std::chrono::milliseconds aMean,
             void (config_schedule::*aAction)());
  void ProposeSomething();
  void RestartOne();
  void FreezeOne();
  void StartOutage();
  void AddTraffic();
  void CheckOutcomes();
  void CheckVersionChain();

  std::size_t Pick(std::size_t aCount);
  config_instance& AnyInstance() { return *mInstances[Pick(kInstances)]; }
  any_row_change AnyChange(config_tables const& aTables);

  std::mt19937_64 mRandom;
  event_queue mQueue;
  fake_log mLog;
  config_reference mReference;
  std::vector<std::unique_ptr<config_instance>> mInstances;
  std::vector<log_offset> mSeen;
  std::vector<reported_outcome> mReported;
  std::uint64_t mIncarnations = 0;
  std::size_t mJumps = 0;
  bool mAreFaultsOver = false;
  instant mFrozenUntil{};
  log_offset mSettledTail;
};

}
