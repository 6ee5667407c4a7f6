#pragma once

#include <LibControl/RequestDirector.h>
#include <LibCore/Verify.h>

/// \file The members of request_director that send and end calls.

namespace lycheeseam {

// While the call waited, its key may have been withdrawn, its pool changed, its
// claim discarded, or its fingerprint refused because of crashes, so everything
// is checked again.
template<control_ports Ports, instance_view View, placement_policy Policy>
void
request_director<Ports, View, Policy>::Dispatch(call_state& aCall, instant aNow)
{
  route_decision decision = Decide(aCall.mRequest, aNow);
  if (refusal const* const refused = std::get_if<refusal>(&decision)) {
    Refuse(aCall, *refused, aNow);
    return;
  }
  if (mDependencies.mPoison.IsRefused(aNow, aCall.mFingerprint)) {
    Refuse(aCall, PoisonRefusal(), aNow);
    return;
  }
  if (aCall.IsClaimed() &&
      !mDependencies.mGate.MayDispatch(aNow, aCall.mRequest.mId)) {
    Refuse(aCall, QueueDeadlineRefusal(), aNow);
    return;
  }
  std::optional<placement_choice> const choice =
    mPools.Of(aCall).Choose(PlacementOf(aCall), aCall.mFailedServers, aNow);
  if (choice)
    Send(aCall, *choice, aNow);
  else
    Refuse(aCall, NoServerRefusal(), aNow);
}

template<control_ports Ports, instance_view View, placement_policy Policy>
placement_request
request_director<Ports, View, Policy>::PlacementOf(
  call_state const& aCall) const
{
  return placement_request{ .mBlocks = aCall.mChain.Blocks(),
                            .mRoot = aCall.mChain.Root(),
                            .mPromptTokens = aCall.mChain.Tokens(),
                            .mFailureDomain = mFailureDomain };
}

template<control_ports Ports, instance_view View, placement_policy Policy>
void
request_director<Ports, View, Policy>::Send(call_state& aCall,
                                            placement_choice const& aChoice,
                                            instant aNow)
{
  pool_runtime<Policy>& pool = mPools.Of(aCall);
  backend_server const* const server = pool.Find(aChoice.mServer);
  VERIFY(server);
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

// A connection that breaks during an attempt counts as a crash of the server.
// The report names no incarnation, so repeated crashes of one server count as
// one.
template<control_ports Ports, instance_view View, placement_policy Policy>
void
request_director<Ports, View, Policy>::RecordCrash(call_state const& aCall,
                                                   upstream_end const& aEnd,
                                                   instant aNow)
{
  if (aEnd.mFailure != transfer_failure::ConnectionLost)
    return;
  crash_report report{ .mServer = { .mServer = aCall.mServer.mId },
                       .mFingerprints = { aCall.mFingerprint } };
  mDependencies.mPoison.OnCrash(aNow, report);
  mCrashes.push_back(std::move(report));
}

template<control_ports Ports, instance_view View, placement_policy Policy>
void
request_director<Ports, View, Policy>::Resume(call_state& aCall,
                                              upstream_end const& aEnd,
                                              instant aNow)
{
  aCall.mForwardedText += AnswerText(aEnd.mRecorded);
  aCall.mHasBegun = true;
  Retry(aCall, aNow);
}

template<control_ports Ports, instance_view View, placement_policy Policy>
bool
request_director<Ports, View, Policy>::MayRetry(call_state const& aCall,
                                                upstream_end const& aEnd,
                                                instant aNow)
{
  retry_decision const decision =
    DecideRetry(aCall.mAdmitted.mRoute, aCall.mAttempt, aEnd);
  if (decision == retry_decision::GiveUp)
    return false;
  if (mDependencies.mPoison.IsRefused(aNow, aCall.mFingerprint))
    return false;
  return mPools.Of(aCall).Retries().TrySpend();
}

template<control_ports Ports, instance_view View, placement_policy Policy>
void
request_director<Ports, View, Policy>::Retry(call_state& aCall, instant aNow)
{
  aCall.mFailedServers.insert(aCall.mServer.mId);
  Dispatch(aCall, aNow);
}

template<control_ports Ports, instance_view View, placement_policy Policy>
void
request_director<Ports, View, Policy>::Finish(call_state& aCall,
                                              upstream_end aEnd,
                                              instant aNow)
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
    ForwardAnswer(std::move(aEnd));
  Close(aCall, std::move(outcome), used, aNow);
}

template<control_ports Ports, instance_view View, placement_policy Policy>
void
request_director<Ports, View, Policy>::ForwardAnswer(upstream_end aEnd)
{
  mPorts.PostFront(front_answer{ .mCall = aEnd.mCall,
                                 .mStatus = aEnd.mStatus,
                                 .mContentType = std::move(aEnd.mContentType),
                                 .mBody = std::move(aEnd.mBody) });
}

// Ends a call with an error. A call that was sent before may have run.
template<control_ports Ports, instance_view View, placement_policy Policy>
void
request_director<Ports, View, Policy>::Refuse(call_state& aCall,
                                              refusal aRefusal,
                                              instant aNow)
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

// Ends the call's claim, settles its charge and removes it.
template<control_ports Ports, instance_view View, placement_policy Policy>
void
request_director<Ports, View, Policy>::Close(call_state& aCall,
                                             request_outcome aOutcome,
                                             token_count aUsed,
                                             instant aNow)
{
  mDependencies.mGate.End(aNow, aCall.mRequest.mId, std::move(aOutcome));
  if (aCall.mIsCharged)
    mDependencies.mBudget.Settle(ChargeOf(aCall.mRequest.mCall), aUsed);
  mCalls.Remove(aCall);
}

template<control_ports Ports, instance_view View, placement_policy Policy>
void
request_director<Ports, View, Policy>::Answer(call_number aCall,
                                              refusal aRefusal)
{
  mMeter.Count("refusals_total", "code", RefusalName(aRefusal.mCode));
  mPorts.PostFront(
    front_refusal{ .mCall = aCall, .mRefusal = std::move(aRefusal) });
}

}
