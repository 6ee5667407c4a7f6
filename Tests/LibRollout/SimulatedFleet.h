#pragma once

#include "SimulationOptions.h"
#include <LibRollout/RolloutGate.h>
#include <LibRollout/RolloutJudge.h>
#include <LibRollout/RolloutPlan.h>

#include <functional>
#include <map>
#include <random>
#include <vector>

namespace lycheeseam {

/// Simulates a rollout on instances that each keep a gate, in virtual time,
/// with delays of reports and a leader that may fail.
class simulated_fleet
{
public:
  explicit simulated_fleet(simulation_options const& aOptions);

  /// Runs until the order's end and a second more.
  simulation_result Run();

  [[nodiscard]] rollout_state const& LastState() const { return mStored; }

private:
  struct server
  {
    backend_server_id mId;
    instant mReadyAt{};
    std::size_t mRunning = 0;
  };
  struct member
  {
    rollout_gate mGate;
    std::vector<rollout_sample> mSamples;
    std::size_t mRunningOnOld = 0;
    rollout_state mKnown;
    /// The revision for which the leader has been told that it is drained.
    std::uint64_t mDrainedRevision = 0;
  };
  struct route
  {
    route_name mName;
    std::size_t mSize = 0;
    double mFirstEvent = 0;
    double mStream = 0;
  };

  void At(instant aWhen, std::function<void()> aAction);
  duration Random(double aLeast, double aMost);
  double Uniform() { return std::uniform_real_distribution<>{}(mRandom); }
  [[nodiscard]] duration SinceOrder() const { return mNow - mOrderedAt; }
  [[nodiscard]] bool IsCutOff(std::size_t aMember) const;
  [[nodiscard]] std::uint32_t ReadyTarget() const;

  void Arrive();
  void Send(std::size_t aMember, bool aIsTarget, std::uint32_t aServers);
  server& PickServer(bool aIsTarget, std::uint32_t aServers);
  void Record(std::size_t aMember, rollout_sample const& aSample);
  void NoteBad(bool aIsTarget, bool aIsBad);
  void Report(std::size_t aMember);
  void Publish();
  void PublishRegularly();
  void Tick();
  void TakeOver();
  void OnState(rollout_state const& aState);
  [[nodiscard]] rollout_inputs Inputs() const;

  simulation_options mOptions;
  std::mt19937_64 mRandom;
  std::multimap<instant, std::function<void()>> mEvents;
  instant mNow{ std::chrono::seconds{ 100 } };
  instant mOrderedAt = mNow;
  rollout_order mOrder;
  std::vector<server> mOld;
  std::vector<server> mNew;
  std::vector<member> mMembers;
  std::vector<route> mRoutes;
  rollout_judge mJudge;
  std::optional<rollout_plan> mPlan;
  rollout_state mStored;
  simulation_result mResult;
};

}
