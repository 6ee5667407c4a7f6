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

#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace lycheeseam {

/// Drives each call through its stages: route and key check, claim in the log,
/// charge to the workspace's budget, queue, placement, attempts and answer.
/// Runs on the control thread.
///
/// Code that passes log entries or messages to the gate or the budget must call
/// Tick afterwards, which handles their decisions.
template<control_ports Ports, instance_view View, placement_policy Policy>
class request_director
{
public:
  request_director(Ports& aPorts,
                   View const& aView,
                   director_dependencies aDependencies,
                   failure_domain aFailureDomain)
    : mPorts(aPorts)
    , mView(aView)
    , mDependencies(aDependencies)
    , mFailureDomain(std::move(aFailureDomain))
    , mMeter(aDependencies.mMetrics)
  {
  }

  /// Sets the configuration tables that decisions are based on.
  void SetTables(std::shared_ptr<config_tables const> aTables)
  {
    mTables = std::move(aTables);
    mPools.Update(*mTables);
  }

  /// The number of calls that have no complete answer yet.
  [[nodiscard]] std::size_t OpenCalls() const { return mCalls.size(); }

  /// This instance's state of the pools.
  [[nodiscard]] pool_table<Policy>& Pools() noexcept { return mPools; }

  /// Takes the crash reports that still have to be sent to all instances.
  [[nodiscard]] std::vector<crash_report> TakeCrashReports()
  {
    return std::exchange(mCrashes, {});
  }

  /// Starts a call for a caller's request.
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
    if (mDependencies.mPoison.IsRefused(aNow, call.mFingerprint)) {
      Answer(number, PoisonRefusal());
      return;
    }
    Claim(mCalls.Add(std::move(call)), aNow);
    Tick(aNow);
  }

  /// Ends the call of a disconnected caller in any phase, unless an attempt of
  /// a claimed call is running.
  void Handle(caller_disconnected aDisconnected, instant aNow)
  {
    call_state* const found = mCalls.Find(aDisconnected.mCall);
    if (!found)
      return;
    call_state& call = *found;
    // A claimed call runs to its end even though its caller disconnected, since
    // a repeat of the request needs the outcome.
    if (call.mPhase == call_phase::Running && call.IsClaimed()) {
      call.mIsAbandoned = true;
      return;
    }
    bool const wasRunning = call.mPhase == call_phase::Running;
    if (wasRunning) {
      mPorts.PostUpstream(cancel_transfer{ .mCall = aDisconnected.mCall });
      mPools.Of(call).OnEnded(
        call.mServer.mId, attempt_result::Cancelled, aNow);
    }
    if (call.mPhase == call_phase::Queued)
      mPools.Of(call).Queue().Cancel(TicketOf(aDisconnected.mCall));
    if (call.mPhase == call_phase::Charging)
      mDependencies.mBudget.Cancel(ChargeOf(aDisconnected.mCall));
    Close(call,
          request_outcome{ .mVerdict = wasRunning ? verdict::MayHaveRun
                                                  : verdict::NotRun },
          wasRunning ? call.mCharged : 0,
          aNow);
    Tick(aNow);
  }

  /// Resumes, retries or finishes the call whose attempt ended; ignores the end
  /// of an attempt that is not the call's latest.
  void Handle(upstream_end aEnd, instant aNow)
  {
    call_state* const found = mCalls.Find(aEnd.mCall);
    if (!found || found->mAttempt != aEnd.mAttempt)
      return;
    call_state& call = *found;
    mPools.Of(call).OnEnded(call.mServer.mId, ResultOf(aEnd), aNow);
    RecordCrash(call, aEnd, aNow);
    if (MayResume(call, aEnd))
      Resume(call, aEnd, aNow);
    else if (MayRetry(call, aEnd, aNow))
      Retry(call, aNow);
    else
      Finish(call, std::move(aEnd), aNow);
    Tick(aNow);
  }

  /// Handles the decisions that are due in the gate, the budget and the queues.
  void Tick(instant aNow)
  {
    mDependencies.mGate.Tick(aNow, [this](instance_identity const& aIdentity) {
      return mView.IsAlive(aIdentity);
    });
    for (once_decision& decision : mDependencies.mGate.TakeDecisions())
      OnClaimed(decision, aNow);
    mDependencies.mBudget.Tick(aNow);
    for (charge_decision const& decision :
         mDependencies.mBudget.TakeDecisions())
      OnCharged(decision, aNow);
    for (pool_runtime<Policy>* const pool : mPools.All())
      Admit(*pool, aNow);
  }

  /// Returns the latest time by which Tick must run again.
  [[nodiscard]] std::optional<instant> NextWake(instant aNow) const
  {
    std::optional<instant> earliest = mPools.NextDeadline();
    std::optional<instant> const gate = mDependencies.mGate.NextWake();
    if (gate && (!earliest || *gate < *earliest))
      earliest = gate;
    instant const budget = mDependencies.mBudget.NextWake(aNow);
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
  void RecordCrash(call_state const& aCall,
                   upstream_end const& aEnd,
                   instant aNow);
  void Resume(call_state& aCall, upstream_end const& aEnd, instant aNow);
  bool MayRetry(call_state const& aCall,
                upstream_end const& aEnd,
                instant aNow);
  void Retry(call_state& aCall, instant aNow);
  void Finish(call_state& aCall, upstream_end aEnd, instant aNow);
  void ForwardAnswer(upstream_end aEnd);
  void Refuse(call_state& aCall, refusal aRefusal, instant aNow);
  void Close(call_state& aCall,
             request_outcome aOutcome,
             token_count aUsed,
             instant aNow);
  void Answer(call_number aCall, refusal aRefusal);

  Ports& mPorts;
  View const& mView;
  director_dependencies mDependencies;
  failure_domain mFailureDomain;
  std::shared_ptr<config_tables const> mTables =
    std::make_shared<config_tables const>();
  pool_table<Policy> mPools;
  call_table mCalls;
  call_meter mMeter;
  std::vector<crash_report> mCrashes;
};

}

#include <LibControl/RequestDirectorAttempts.h>
#include <LibControl/RequestDirectorStages.h>
