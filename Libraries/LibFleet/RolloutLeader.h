#pragma once

#include <LibCore/Instant.h>
#include <LibFleet/RolloutContext.h>
#include <LibFleet/RolloutEvidence.h>
#include <LibFleet/RolloutLedger.h>
#include <LibFleet/RolloutStates.h>
#include <LibRollout/RolloutInputs.h>
#include <LibRollout/RolloutLimits.h>
#include <LibRollout/RolloutPlan.h>

#include <cstdint>
#include <map>

namespace lycheeseam {

/// Runs a plan for each order while this instance leads. The constructor's
/// references outlive it.
class rollout_leader
{
public:
  rollout_leader(rollout_limits const& aLimits,
                 rollout_states& aStates,
                 rollout_evidence const& aEvidence,
                 rollout_ledger& aLedger)
    : mLimits(aLimits)
    , mStates(aStates)
    , mEvidence(aEvidence)
    , mLedger(aLedger)
  {
  }

  /// Forgets the plans: another instance may lead in between.
  void Clear();

  /// Takes the steps that are due; true when one has changed. aLease is the
  /// newest lease that this instance has held.
  bool Tick(instant aNow,
            std::uint64_t aLease,
            rollout_context const& aContext);

private:
  void Step(instant aNow,
            rollout_context const& aContext,
            known_order const& aKnown);
  // The plan for the newest order of the pool that has a state, else for the
  // order itself.
  rollout_plan& PlanOf(instant aNow, known_order const& aKnown);
  // Lets a newer order replace the one of the plan.
  void UpdateOrder(instant aNow,
                   known_order const& aKnown,
                   rollout_plan& aPlan);
  rollout_inputs MakeInputs(instant aNow,
                            rollout_context const& aContext,
                            rollout_state const& aState);
  bool IsDrained(instant aNow,
                 rollout_context const& aContext,
                 rollout_state const& aState);
  void Announce(instant aNow, rollout_state const& aState);
  void AnnounceEnd(instant aNow, rollout_state const& aState);

  rollout_limits mLimits;
  rollout_states& mStates;
  rollout_evidence const& mEvidence;
  rollout_ledger& mLedger;
  std::uint64_t mLease = 0;
  bool mHasChanged = false;
  std::map<pool_name, rollout_plan> mPlans;
  /// Orders that ask again for what is done already.
  std::map<pool_name, std::uint64_t> mRepeated;
  std::map<pool_name, instant> mDrainedSince;
  instant mNextStepAt{};
};

}
