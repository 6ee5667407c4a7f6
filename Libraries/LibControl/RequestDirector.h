#pragma once

#include <LibConfig/ConfigTables.h>
#include <LibControl/CallCost.h>
#include <LibControl/CallState.h>
#include <LibControl/ControlMessage.h>
#include <LibControl/ControlPorts.h>
#include <LibControl/MakeUpstreamRequest.h>
#include <LibControl/PoolRuntime.h>
#include <LibControl/RetryDecision.h>
#include <LibRequest/DecideRoute.h>

#include <cassert>
#include <memory>
#include <optional>
#include <unordered_map>

namespace lycheeseam {

/// Takes each call from its arrival to its end: decides, starts attempts,
/// and answers what no backend server answers. Runs on the control thread.
template<control_ports Ports, placement_policy Policy>
class request_director
{
public:
  request_director(Ports& aPorts, failure_domain aFailureDomain)
    : mPorts(aPorts)
    , mFailureDomain(std::move(aFailureDomain))
  {
  }

  /// Takes the tables that decisions are made from.
  void SetTables(std::shared_ptr<config_tables const> aTables)
  {
    mTables = std::move(aTables);
    std::erase_if(mPools, [this](auto const& aEntry) {
      return !mTables->FindPool(aEntry.first);
    });
    for (auto const& [name, entry] : mTables->mPools)
      mPools[name].Update(entry.mRow);
    for (auto const& [name, entry] : mTables->mWorkspaces) {
      for (auto& [pool, runtime] : mPools)
        runtime.Queue().SetWeight(name, entry.mRow.mWeight);
    }
  }

  /// The calls that have no complete answer yet.
  [[nodiscard]] std::size_t OpenCalls() const { return mCalls.size(); }

  /// A caller has sent a request.
  void Handle(call_opened aOpened, instant aNow)
  {
    call_number const number = aOpened.mRequest.mCall;
    route_decision decision = DecideRoute(*mTables, aOpened.mRequest);
    if (refusal const* const refused = std::get_if<refusal>(&decision)) {
      Answer(number, *refused);
      return;
    }
    call_state call{ .mRequest = std::move(aOpened.mRequest),
                     .mAdmitted =
                       std::get<admitted_route>(std::move(decision)) };
    call.mChain = ChainOf(call);
    call.mCharged = CallCost(call.mRequest, call.mAdmitted.mRoute);
    mCalls.emplace(number, std::move(call));
    Enqueue(number, aNow);
  }

  /// A caller has gone: what it asked for is ended wherever it stands.
  void Handle(caller_gone aGone, instant aNow)
  {
    auto const found = mCalls.find(aGone.mCall);
    if (found == mCalls.end())
      return;
    call_state& call = found->second;
    pool_runtime<Policy>& pool = PoolOf(call);
    if (call.mPhase == call_phase::Queued)
      pool.Queue().Cancel(TicketOf(aGone.mCall));
    if (call.mPhase == call_phase::Running) {
      mPorts.PostUpstream(cancel_transfer{ .mCall = aGone.mCall });
      pool.OnEnded(call.mServer.mId, attempt_result::Cancelled, aNow);
    }
    pool_name const name = call.mAdmitted.mPool.mName;
    mCalls.erase(found);
    Pump(name, aNow);
  }

  /// An attempt has ended.
  void Handle(upstream_end aEnd, instant aNow)
  {
    auto const found = mCalls.find(aEnd.mCall);
    if (found == mCalls.end() || found->second.mAttempt != aEnd.mAttempt)
      return;
    call_state& call = found->second;
    pool_name const name = call.mAdmitted.mPool.mName;
    PoolOf(call).OnEnded(call.mServer.mId, ResultOf(aEnd), aNow);
    if (MayRetry(call, aEnd))
      Retry(call, aNow);
    else
      Finish(call, std::move(aEnd));
    Pump(name, aNow);
  }

  /// Gives up what waited too long; called at NextWake at the latest.
  void Tick(instant aNow)
  {
    for (auto& [name, pool] : mPools)
      PumpPool(pool, aNow);
  }

  /// When Tick has work next, if it has any.
  [[nodiscard]] std::optional<instant> NextWake() const
  {
    std::optional<instant> earliest;
    for (auto const& [name, pool] : mPools) {
      std::optional<instant> const deadline = pool.Queue().NextDeadline();
      if (deadline && (!earliest || *deadline < *earliest))
        earliest = deadline;
    }
    return earliest;
  }

private:
  using pool = pool_runtime<Policy>;

  static ticket TicketOf(call_number aCall) { return ticket{ aCall.Value() }; }

  static call_number CallOf(ticket aTicket)
  {
    return call_number{ aTicket.Value() };
  }

  static prefix_chain ChainOf(call_state const& aCall)
  {
    if (aCall.mRequest.mKind == call_kind::Plain)
      return {};
    cache_scope scope{ .mWeights = aCall.mAdmitted.mPool.mWeights };
    if (aCall.mAdmitted.mWorkspace)
      scope.mWorkspace = aCall.mAdmitted.mWorkspace->mName;
    return prefix_chain::OfText(scope, aCall.mRequest.mCompletion.mPrompt);
  }

  static attempt_result ResultOf(upstream_end const& aEnd)
  {
    if (aEnd.mFailure == transfer_failure::Cancelled)
      return attempt_result::Cancelled;
    return aEnd.mFailure == transfer_failure::None ? attempt_result::Answered
                                                   : attempt_result::Lost;
  }

  pool& PoolOf(call_state const& aCall)
  {
    return mPools[aCall.mAdmitted.mPool.mName];
  }

  // The workspace under which a call waits; open routes share one flow.
  static workspace_id FlowOf(call_state const& aCall)
  {
    if (!aCall.mAdmitted.mWorkspace)
      return workspace_id{};
    return aCall.mAdmitted.mWorkspace->mName;
  }

  void Enqueue(call_number aNumber, instant aNow)
  {
    call_state& call = mCalls.at(aNumber);
    route_row const& route = call.mAdmitted.mRoute;
    enqueue_result const result = PoolOf(call).Queue().Enqueue(
      admission_request{ .mTicket = TicketOf(aNumber),
                         .mWorkspace = FlowOf(call),
                         .mPriority = route.mPriority,
                         .mCost = call.mCharged,
                         .mDeadline = aNow + route.mQueueDeadline });
    if (result != enqueue_result::Queued) {
      End(aNumber,
          refusal{ .mCode = refusal_code::Overloaded,
                   .mMessage = "too many requests wait for this pool",
                   .mRetryAfter = kRetryAfterOverload });
      return;
    }
    call.mPhase = call_phase::Queued;
    Pump(call.mAdmitted.mPool.mName, aNow);
  }

  void Pump(pool_name const& aName, instant aNow)
  {
    auto const found = mPools.find(aName);
    if (found != mPools.end())
      PumpPool(found->second, aNow);
  }

  void PumpPool(pool& aPool, instant aNow)
  {
    admission_batch const batch = aPool.Next(aNow);
    for (ticket const expired : batch.mExpired) {
      End(CallOf(expired),
          refusal{ .mCode = refusal_code::QueueDeadline,
                   .mMessage = "no backend server had room in time",
                   .mRetryAfter = kRetryAfterOverload });
    }
    for (ticket const admitted : batch.mAdmitted)
      Dispatch(mCalls.at(CallOf(admitted)), aNow);
  }

  // The key may have been withdrawn, and the pool changed, while the call
  // waited, so that the tables are asked again.
  void Dispatch(call_state& aCall, instant aNow)
  {
    route_decision decision = DecideRoute(*mTables, aCall.mRequest);
    if (refusal const* const refused = std::get_if<refusal>(&decision)) {
      End(aCall.mRequest.mCall, *refused);
      return;
    }
    std::optional<placement_choice> const choice = Choose(aCall, aNow);
    if (!choice) {
      End(aCall.mRequest.mCall,
          refusal{ .mCode = refusal_code::NoBackendServer,
                   .mMessage = "no backend server can take the request",
                   .mRetryAfter = kRetryAfterOverload });
      return;
    }
    Send(aCall, *choice);
  }

  std::optional<placement_choice> Choose(call_state const& aCall, instant aNow)
  {
    placement_request const request{
      .mBlocks = aCall.mChain.Blocks(),
      .mRoot = aCall.mChain.Root(),
      .mPromptTokens = aCall.mChain.Tokens(),
      .mFailureDomain = mFailureDomain,
    };
    return PoolOf(aCall).Choose(request, aCall.mLost, aNow);
  }

  void Send(call_state& aCall, placement_choice const& aChoice)
  {
    pool& runtime = PoolOf(aCall);
    backend_server const* const server = runtime.Find(aChoice.mServer);
    assert(server);
    aCall.mServer = *server;
    aCall.mAttempt = aCall.mAttempt.Next();
    aCall.mPhase = call_phase::Running;
    token_count const uncached =
      aCall.mChain.Tokens() - aChoice.mExpectedCached;
    runtime.OnSent(server->mId, uncached);
    if (aCall.mAttempt.Value() == 1)
      runtime.Retries().OnRequest();
    mPorts.PostUpstream(MakeUpstreamRequest(aCall));
  }

  bool MayRetry(call_state& aCall, upstream_end const& aEnd)
  {
    retry_decision const decision =
      DecideRetry(aCall.mAdmitted.mRoute, aCall.mAttempt, aEnd);
    if (decision == retry_decision::GiveUp)
      return false;
    return PoolOf(aCall).Retries().TrySpend();
  }

  void Retry(call_state& aCall, instant aNow)
  {
    aCall.mLost.insert(aCall.mServer.mId);
    Dispatch(aCall, aNow);
  }

  void Finish(call_state& aCall, upstream_end aEnd)
  {
    call_number const number = aCall.mRequest.mCall;
    if (aEnd.mFailure != transfer_failure::None) {
      End(number, RefusalFor(aEnd));
      return;
    }
    if (aEnd.mForwardedBytes > 0)
      mPorts.PostFront(front_end{ .mCall = number });
    else
      PassOn(std::move(aEnd));
    mCalls.erase(number);
  }

  static refusal RefusalFor(upstream_end const& aEnd)
  {
    bool const isTimeout = aEnd.mFailure == transfer_failure::FirstByteTimeout;
    return refusal{ .mCode = isTimeout ? refusal_code::BackendTimeout
                                       : refusal_code::BackendFailed,
                    .mVerdict = aEnd.mVerdict,
                    .mMessage = "the backend server gave no complete answer" };
  }

  // Ends a call with an error.
  void End(call_number aCall, refusal aRefusal)
  {
    Answer(aCall, std::move(aRefusal));
    mCalls.erase(aCall);
  }

  void Answer(call_number aCall, refusal aRefusal)
  {
    mPorts.PostFront(
      front_refusal{ .mCall = aCall, .mRefusal = std::move(aRefusal) });
  }

  void PassOn(upstream_end aEnd)
  {
    mPorts.PostFront(front_answer{ .mCall = aEnd.mCall,
                                   .mStatus = aEnd.mStatus,
                                   .mContentType = std::move(aEnd.mContentType),
                                   .mBody = std::move(aEnd.mBody) });
  }

  static constexpr std::chrono::seconds kRetryAfterOverload{ 1 };

  Ports& mPorts;
  failure_domain mFailureDomain;
  std::shared_ptr<config_tables const> mTables =
    std::make_shared<config_tables const>();
  std::map<pool_name, pool> mPools;
  std::unordered_map<call_number, call_state> mCalls;
};

}
