#pragma once

#include <LibConfig/ConfigTables.h>
#include <LibControl/AttemptRules.h>
#include <LibControl/CallBook.h>
#include <LibControl/CallMeter.h>
#include <LibControl/ControlMessage.h>
#include <LibControl/ControlPorts.h>
#include <LibControl/InstanceView.h>
#include <LibControl/MakeCall.h>
#include <LibControl/MakeUpstreamRequest.h>
#include <LibControl/PoolTable.h>
#include <LibControl/RetryDecision.h>
#include <LibControl/StageRefusals.h>
#include <LibLimits/FleetBudget.h>
#include <LibMetrics/MetricsRecorder.h>
#include <LibOnce/OnceGate.h>
#include <LibOnce/PoisonTable.h>
#include <LibOpenAi/AnswerText.h>
#include <LibRequest/DecideRoute.h>

#include <cassert>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace lycheeseam {

/// The machines that a director asks on its calls' way; they outlive it.
struct director_parts
{
  fleet_budget& mBudget;
  once_gate& mGate;
  poison_table& mPoison;
  metrics_recorder& mMetrics;
};

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
  void Handle(caller_gone aGone, instant aNow)
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
    mParts.mGate.Tick(aNow, [this](instance_life const& aLife) {
      return mView.IsAlive(aLife);
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

  route_decision Decide(caller_request const& aRequest, instant aNow) const
  {
    route_decision decision = DecideRoute(*mTables, aRequest);
    admitted_route const* const admitted =
      std::get_if<admitted_route>(&decision);
    bool const isKeyed =
      admitted && admitted->mRoute.mAccess == route_access::Keyed;
    if (isKeyed && mView.Freshness(aNow) == freshness_verdict::CutOff)
      return NotConfirmedRefusal();
    return decision;
  }

  void Claim(call_state const& aCall, instant aNow)
  {
    mParts.mGate.Begin(
      aNow,
      ClaimOf(aCall, aNow),
      mView.Log(aNow),
      [this](instance_life const& aLife) { return mView.IsAlive(aLife); });
  }

  void OnClaimed(once_decision& aDecision, instant aNow)
  {
    call_state* const found = mCalls.Find(aDecision.mId);
    if (!found) {
      // Its caller has gone meanwhile; the claim is given back.
      mParts.mGate.End(
        aNow, aDecision.mId, request_outcome{ .mVerdict = verdict::NotRun });
      return;
    }
    call_state& call = *found;
    if (aDecision.mAction == once_action::Run) {
      Charge(call, aNow);
      return;
    }
    if (aDecision.mAction == once_action::Replay)
      Replay(call, std::move(*aDecision.mOutcome));
    else
      Answer(call.mRequest.mCall, RefusalFor(aDecision.mAction));
    mCalls.Remove(call);
  }

  void Replay(call_state const& aCall, request_outcome aOutcome)
  {
    mPorts.PostFront(
      front_answer{ .mCall = aCall.mRequest.mCall,
                    .mStatus = aOutcome.mStatus,
                    .mContentType = std::move(aOutcome.mContentType),
                    .mBody = std::move(aOutcome.mBody) });
  }

  void Charge(call_state& aCall, instant aNow)
  {
    if (!aCall.mAdmitted.mWorkspace) {
      Enqueue(aCall, aNow);
      return;
    }
    aCall.mPhase = call_phase::Charging;
    mParts.mBudget.Charge(
      aNow,
      charge_request{ .mCharge = ChargeOf(aCall.mRequest.mCall),
                      .mWorkspace = aCall.Workspace(),
                      .mTokens = aCall.mCharged,
                      .mDeadline =
                        aNow + aCall.mAdmitted.mRoute.mQueueDeadline });
  }

  void OnCharged(charge_decision const& aDecision, instant aNow)
  {
    call_state* const found =
      mCalls.Find(call_number{ aDecision.mCharge.Value() });
    if (!found)
      return;
    call_state& call = *found;
    if (aDecision.mResult == charge_result::Admitted) {
      call.mIsCharged = true;
      Enqueue(call, aNow);
      return;
    }
    Refuse(call, RefusalFor(aDecision.mResult), aNow);
  }

  void Enqueue(call_state& aCall, instant aNow)
  {
    route_row const& route = aCall.mAdmitted.mRoute;
    aCall.mPhase = call_phase::Queued;
    enqueue_result const result = mPools.Of(aCall).Queue().Enqueue(
      admission_request{ .mTicket = TicketOf(aCall.mRequest.mCall),
                         .mWorkspace = aCall.Workspace(),
                         .mPriority = route.mPriority,
                         .mCost = aCall.mCharged,
                         .mDeadline = aNow + route.mQueueDeadline });
    if (result != enqueue_result::Queued)
      Refuse(aCall, OverloadRefusal(), aNow);
  }

  void Admit(pool_runtime<Policy>& aPool, instant aNow)
  {
    admission_batch const batch = aPool.Next(aNow);
    for (ticket const expired : batch.mExpired) {
      call_state* const call = mCalls.Find(call_number{ expired.Value() });
      assert(call);
      Refuse(*call, QueueDeadlineRefusal(), aNow);
    }
    for (ticket const admitted : batch.mAdmitted) {
      call_state* const call = mCalls.Find(call_number{ admitted.Value() });
      assert(call);
      Dispatch(*call, aNow);
    }
  }

  // The key may have been withdrawn, the pool changed, the claim forgotten and
  // the request found to be poison while the call waited, so that all are
  // asked again.
  void Dispatch(call_state& aCall, instant aNow)
  {
    route_decision decision = Decide(aCall.mRequest, aNow);
    if (refusal const* const refused = std::get_if<refusal>(&decision)) {
      Refuse(aCall, *refused, aNow);
      return;
    }
    if (mParts.mPoison.IsRefused(aNow, aCall.mFingerprint)) {
      Refuse(aCall, PoisonRefusal(), aNow);
      return;
    }
    if (aCall.IsClaimed() &&
        !mParts.mGate.MayDispatch(aNow, aCall.mRequest.mId)) {
      Refuse(aCall, QueueDeadlineRefusal(), aNow);
      return;
    }
    std::optional<placement_choice> const choice =
      mPools.Of(aCall).Choose(PlacementOf(aCall), aCall.mLost, aNow);
    if (choice)
      Send(aCall, *choice, aNow);
    else
      Refuse(aCall, NoServerRefusal(), aNow);
  }

  placement_request PlacementOf(call_state const& aCall) const
  {
    return placement_request{ .mBlocks = aCall.mChain.Blocks(),
                              .mRoot = aCall.mChain.Root(),
                              .mPromptTokens = aCall.mChain.Tokens(),
                              .mFailureDomain = mFailureDomain };
  }

  void Send(call_state& aCall, placement_choice const& aChoice, instant aNow)
  {
    pool_runtime<Policy>& pool = mPools.Of(aCall);
    backend_server const* const server = pool.Find(aChoice.mServer);
    assert(server);
    aCall.mServer = *server;
    aCall.mAttempt = aCall.mAttempt.Next();
    aCall.mPhase = call_phase::Running;
    pool.OnSent(server->mId, aCall.mChain.Tokens() - aChoice.mExpectedCached);
    mMeter.Count("attempts_total", "pool", aCall.mAdmitted.mPool.mName.Text());
    if (aCall.mAttempt == attempt_number{ 1 })
      pool.Retries().OnRequest();
    mMeter.Record(aCall, latency_kind::QueueWait, aNow);
    mPorts.PostUpstream(MakeUpstreamRequest(aCall));
  }

  // A connection that breaks under a model engine is taken for its crash.
  void NoteCrash(call_state const& aCall,
                 upstream_end const& aEnd,
                 instant aNow)
  {
    if (aEnd.mFailure != transfer_failure::ConnectionLost)
      return;
    crash_report report{ .mServer = { .mServer = aCall.mServer.mId },
                         .mFingerprints = { aCall.mFingerprint } };
    mParts.mPoison.OnCrash(aNow, report);
    mCrashes.push_back(std::move(report));
  }

  void Resume(call_state& aCall, upstream_end const& aEnd, instant aNow)
  {
    aCall.mTextSoFar += AnswerText(aEnd.mRecorded);
    aCall.mHasBegun = true;
    Retry(aCall, aNow);
  }

  bool MayRetry(call_state const& aCall, upstream_end const& aEnd, instant aNow)
  {
    retry_decision const decision =
      DecideRetry(aCall.mAdmitted.mRoute, aCall.mAttempt, aEnd);
    if (decision == retry_decision::GiveUp)
      return false;
    if (mParts.mPoison.IsRefused(aNow, aCall.mFingerprint))
      return false;
    return mPools.Of(aCall).Retries().TrySpend();
  }

  void Retry(call_state& aCall, instant aNow)
  {
    aCall.mLost.insert(aCall.mServer.mId);
    Dispatch(aCall, aNow);
  }

  void Finish(call_state& aCall, upstream_end aEnd, instant aNow)
  {
    call_number const number = aCall.mRequest.mCall;
    token_count const used = UsedTokens(aCall, aEnd);
    if (aEnd.mFirstByte)
      mMeter.Record(aCall, latency_kind::FirstToken, *aEnd.mFirstByte);
    request_outcome outcome = OutcomeOf(aCall, aEnd);
    if (aEnd.mFailure != transfer_failure::None)
      Answer(number, RefusalFor(aEnd));
    else if (aEnd.mForwardedBytes > 0 || aCall.mHasBegun)
      mPorts.PostFront(front_end{ .mCall = number });
    else
      PassOn(std::move(aEnd));
    Close(aCall, std::move(outcome), used, aNow);
  }

  void PassOn(upstream_end aEnd)
  {
    mPorts.PostFront(front_answer{ .mCall = aEnd.mCall,
                                   .mStatus = aEnd.mStatus,
                                   .mContentType = std::move(aEnd.mContentType),
                                   .mBody = std::move(aEnd.mBody) });
  }

  // Ends a call with an error; what ran before on other servers may have run.
  void Refuse(call_state& aCall, refusal aRefusal, instant aNow)
  {
    bool const wasSent = aCall.mAttempt.Value() > 0;
    if (wasSent)
      aRefusal.mVerdict = verdict::MayHaveRun;
    Answer(aCall.mRequest.mCall, aRefusal);
    Close(aCall,
          request_outcome{ .mVerdict = aRefusal.mVerdict },
          wasSent ? aCall.mCharged : 0,
          aNow);
  }

  // Settles what a call holds and forgets it.
  void Close(call_state& aCall,
             request_outcome aOutcome,
             token_count aUsed,
             instant aNow)
  {
    mParts.mGate.End(aNow, aCall.mRequest.mId, std::move(aOutcome));
    if (aCall.mIsCharged)
      mParts.mBudget.Settle(ChargeOf(aCall.mRequest.mCall), aUsed);
    mCalls.Remove(aCall);
  }

  void Answer(call_number aCall, refusal aRefusal)
  {
    mMeter.Count("refusals_total", "code", RefusalName(aRefusal.mCode));
    mPorts.PostFront(
      front_refusal{ .mCall = aCall, .mRefusal = std::move(aRefusal) });
  }

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
