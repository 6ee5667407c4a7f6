#pragma once

#include <Tests/LibConfigLog/ConfigSamples.h>
#include <Tests/Support/ConfigInstance.h>
#include <Tests/Support/ConfigReference.h>

#include <memory>
#include <random>
#include <string>
#include <vector>

namespace lycheeseam {

/// One random schedule: instances that race to change the same few rows while
/// the log and the instances themselves fail. All of it follows from a seed.
class config_schedule
{
public:
  explicit config_schedule(std::uint64_t aSeed);

  /// Runs the faults, heals them, and lets everything settle.
  void Run();

  /// Checks what must hold once all is settled.
  void CheckEnd();

  /// How often an instance jumped to a checkpoint, over all schedules'
  /// incarnations.
  [[nodiscard]] std::size_t Jumps() const { return mJumps; }

private:
  static constexpr std::size_t kInstances = 4;

  struct told_outcome
  {
    append_outcome mOutcome;
    std::optional<proposal_outcome> mVerdict;
  };

  void Start(std::size_t aIndex);
  void OnState(std::size_t aIndex, config_instance::state const& aState);
  void Every(std::chrono::milliseconds aMean, void (config_schedule::*aAct)());
  void ProposeSomething();
  void RestartOne();
  void FreezeOne();
  void BreakLog();
  void AddNoise();
  void CheckOutcomes();
  void CheckChainOfVersions();

  std::size_t Pick(std::size_t aCount);
  config_instance& AnyInstance() { return *mInstances[Pick(kInstances)]; }
  any_row_change AnyChange(config_tables const& aTables);

  std::mt19937_64 mRandom;
  event_queue mQueue;
  fake_log mLog;
  config_reference mReference;
  std::vector<std::unique_ptr<config_instance>> mInstances;
  std::vector<log_offset> mSeen;
  std::vector<told_outcome> mTold;
  std::uint64_t mIncarnations = 0;
  std::size_t mJumps = 0;
  bool mIsHealed = false;
  instant mFrozenUntil{};
  log_offset mSettledTail;
};

}
