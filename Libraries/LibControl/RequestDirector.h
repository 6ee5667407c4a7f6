#pragma once

#include <LibConfig/ConfigTables.h>
#include <LibControl/AttemptRules.h>
#include <LibControl/CallMeter.h>
#include <LibControl/CallTable.h>
#include <LibControl/ControlMessage.h>
#include <LibControl/ControlPorts.h>
#include <LibControl/DirectorDependencies.h>
#include <LibControl/InstanceView.h>
#include <LibControl/MakeCall.h>
#include <LibControl/MakeUpstreamRequest.h>
#include <LibControl/PoolTable.h>
#include <LibControl/RetryDecision.h>
#include <LibControl/StageRefusals.h>
#include <LibOpenAi/AnswerText.h>
#include <LibRequest/DecideRoute.h>

#include <cassert>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace lycheeseam {

/// Takes each call from its arrival to its end: route and key, claim, charge,
/// queue, placement, attempts, answer. Runs on the control thread.
///
/// Whoever feeds the gate or the budget calls Tick afterwards, which takes
/// their decisions.
template<control_ports Ports, instance_view View, placement_policy Policy>
class request_director
{
public:
  request_director(Ports& aPorts,
                   View const& aView,
                   director_parts aParts,
                   failure_domain aFailureDomain)
    : mPorts(aPorts)
    , mView(aView)
    , mParts(aParts)
    , mFailureDomain(std::move(aFailureDomain))
    , mMeter(aParts.mMetrics)
  {
  }

  /// Takes the tables that decisions are made from.
  void SetTables(std::shared_ptr<config_tables const> aTables)
  {
    mTables = std::move(aTables);
    mPools.Update(*mTables);
  }

  /// The calls that have no complete answer yet.
  [[nodiscard]] std::size_t OpenCalls() const { return mCalls.size(); }

  /// The pools as this instance runs them.
  [[nodiscard]] pool_table<Policy>& Pools() noexcept { return mPools; }

  /// Crashes of backend servers to tell all instances, taken once.
  [[nodiscard]] std::vector<crash_report> TakeCrashReports()
  {
    return std::exchange(mCrashes, {});
  }

  /// A caller has sent a request.
  void Handle(call_opened aOpened, instant aNow)
  {
    call_number const number = aOpened.mRequest.mCall;
    if (!mView.Accepts(aNow)) {
      Answer(number, ShuttingDownRefusal());
      return;
    }
    route_decision decision = Decide(aOpened.mRequest, aNow);
    if (refusal const* const refused = std::get_if<refusal>(&decision)) {
      Answer(number, *refused);
      return;
    }
    call_state call = MakeCall(std::move(aOpened.mRequest),
                               std::get<admitted_route>(std::move(decision)));
    if (mParts.mPoison.IsRefused(aNow, call.mFingerprint)) {
      Answer(number, PoisonRefusal());
      return;
    }
    Claim(mCalls.Add(std::move(call)), aNow);
    Tick(aNow);
  }

  /// A caller has gone: what it asked for is ended wherever it stands.
  void Handle(caller_disconnected aGone, instant aNow)
  {
    call_state* const found = mCalls.Find(aGone.mCall);
    if (!found)
      return;
    call_state& call = *found;
    // A claimed booking whose caller hung up still runs to its end, since its
    // repeat needs the outcome.
    if (call.mPhase == call_phase::Running && call.IsClaimed()) {
      call.mIsAbandoned = true;
      return;
    }
    bool const wasRunning = call.mPhase == call_phase::Running;
    if (wasRunning) {
      mPorts.PostUpstream(cancel_transfer{ .mCall = aGone.mCall });
      mPools.Of(call).OnEnded(
        call.mServer.mId, attempt_result::Cancelled, aNow);
    }
    if (call.mPhase == call_phase::Queued)
      mPools.Of(call).Queue().Cancel(TicketOf(aGone.mCall));
    if (call.mPhase == call_phase::Charging)
      mParts.mBudget.Cancel(ChargeOf(aGone.mCall));
    Close(call,
          request_outcome{ .mVerdict = wasRunning ? verdict::MayHaveRun
                                                  : verdict::NotRun },
          wasRunning ? call.mCharged : 0,
          aNow);
    Tick(aNow);
  }

  /// An attempt has ended.
  void Handle(upstream_end aEnd, instant aNow)
  {
    call_state* const found = mCalls.Find(aEnd.mCall);
    if (!found || found->mAttempt != aEnd.mAttempt)
      return;
    call_state& call = *found;
    mPools.Of(call).OnEnded(call.mServer.mId, ResultOf(aEnd), aNow);
    NoteCrash(call, aEnd, aNow);
    if (MayResume(call, aEnd))
      Resume(call, aEnd, aNow);
    else if (MayRetry(call, aEnd, aNow))
      Retry(call, aNow);
    else
      Finish(call, std::move(aEnd), aNow);
    Tick(aNow);
  }

  /// Takes the decisions that are due in the gate, the budget and the queues.
  void Tick(instant aNow)
  {
    mParts.mGate.Tick(aNow, [this](instance_identity const& aIdentity) {
      return mView.IsAlive(aIdentity);
    });
    for (once_decision& decision : mParts.mGate.TakeDecisions())
      OnClaimed(decision, aNow);
    mParts.mBudget.Tick(aNow);
    for (charge_decision const& decision : mParts.mBudget.TakeDecisions())
      OnCharged(decision, aNow);
    for (pool_runtime<Policy>* const pool : mPools.All())
      Admit(*pool, aNow);
  }

  /// When Tick has work next at the latest, if it has any.
  [[nodiscard]] std::optional<instant> NextWake(instant aNow) const
  {
    std::optional<instant> earliest = mPools.NextDeadline();
    std::optional<instant> const gate = mParts.mGate.NextWake();
    if (gate && (!earliest || *gate < *earliest))
      earliest = gate;
    instant const budget = mParts.mBudget.NextWake(aNow);
    return earliest ? std::min(*earliest, budget) : budget;
  }

private:
  static ticket TicketOf(call_number aCall) { return ticket{ aCall.Value() }; }
  static charge_id ChargeOf(call_number aCall)
  {
    return charge_id{ aCall.Value() };
  }
  route_decision Decide(caller_request const& aRequest, instant aNow) const;
  void Claim(call_state const& aCall, instant aNow);
  void OnClaimed(once_decision& aDecision, instant aNow);
  void Replay(call_state const& aCall, request_outcome aOutcome);
  void Charge(call_state& aCall, instant aNow);
  void OnCharged(charge_decision const& aDecision, instant aNow);
  void Enqueue(call_state& aCall, instant aNow);
  void Admit(pool_runtime<Policy>& aPool, instant aNow);
  void Dispatch(call_state& aCall, instant aNow);
  placement_request PlacementOf(call_state const& aCall) const;
  void Send(call_state& aCall, placement_choice const& aChoice, instant aNow);
  void NoteCrash(call_state const& aCall,
                 upstream_end const& aEnd,
                 instant aNow);
  void Resume(call_state& aCall, upstream_end const& aEnd, instant aNow);
  bool MayRetry(call_state const& aCall,
                upstream_end const& aEnd,
                instant aNow);
  void Retry(call_state& aCall, instant aNow);
  void Finish(call_state& aCall, upstream_end aEnd, instant aNow);
  void PassOn(upstream_end aEnd);
  void Refuse(call_state& aCall, refusal aRefusal, instant aNow);
  void Close(call_state& aCall,
             request_outcome aOutcome,
             token_count aUsed,
             instant aNow);
  void Answer(call_number aCall, refusal aRefusal);

  Ports& mPorts;
  View const& mView;
  director_parts mParts;
  failure_domain mFailureDomain;
  std::shared_ptr<config_tables const> mTables =
    std::make_shared<config_tables const>();
  pool_table<Policy> mPools;
  call_book mCalls;
  call_meter mMeter;
  std::vector<crash_report> mCrashes;
};

}

#include <LibControl/RequestDirectorAttempts.h>
#include <LibControl/RequestDirectorStages.h>
