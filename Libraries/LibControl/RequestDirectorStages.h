#pragma once

#include <LibControl/RequestDirector.h>
#include <LibCore/Verify.h>

/// \file The members of request_director for the stages up to admission.

namespace lycheeseam {

template<control_ports Ports, instance_view View, placement_policy Policy>
route_decision
request_director<Ports, View, Policy>::Decide(caller_request const& aRequest,
                                              instant aNow) const
{
  route_decision decision = DecideRoute(*mTables, aRequest);
  admitted_route const* const admitted = std::get_if<admitted_route>(&decision);
  bool const isKeyed =
    admitted && admitted->mRoute.mAccess == route_access::Keyed;
  if (isKeyed && mView.Freshness(aNow) == freshness_verdict::Partitioned)
    return NotConfirmedRefusal();
  return decision;
}

template<control_ports Ports, instance_view View, placement_policy Policy>
void
request_director<Ports, View, Policy>::Claim(call_state const& aCall,
                                             instant aNow)
{
  mDependencies.mGate.Begin(aNow,
                            ClaimOf(aCall, aNow),
                            mView.Log(aNow),
                            [this](instance_identity const& aIdentity) {
                              return mView.IsAlive(aIdentity);
                            });
}

template<control_ports Ports, instance_view View, placement_policy Policy>
void
request_director<Ports, View, Policy>::OnClaimed(once_decision& aDecision,
                                                 instant aNow)
{
  call_state* const found = mCalls.Find(aDecision.mId);
  if (!found) {
    // The caller has disconnected meanwhile; the claim ends as not run.
    mDependencies.mGate.End(
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

template<control_ports Ports, instance_view View, placement_policy Policy>
void
request_director<Ports, View, Policy>::Replay(call_state const& aCall,
                                              request_outcome aOutcome)
{
  mPorts.PostFront(
    front_answer{ .mCall = aCall.mRequest.mCall,
                  .mStatus = aOutcome.mStatus,
                  .mContentType = std::move(aOutcome.mContentType),
                  .mBody = std::move(aOutcome.mBody) });
}

template<control_ports Ports, instance_view View, placement_policy Policy>
void
request_director<Ports, View, Policy>::Charge(call_state& aCall, instant aNow)
{
  if (!aCall.mAdmitted.mWorkspace) {
    Enqueue(aCall, aNow);
    return;
  }
  aCall.mPhase = call_phase::Charging;
  mDependencies.mBudget.Charge(
    aNow,
    charge_request{ .mCharge = ChargeOf(aCall.mRequest.mCall),
                    .mWorkspace = aCall.Workspace(),
                    .mTokens = aCall.mCharged,
                    .mDeadline =
                      aNow + aCall.mAdmitted.mRoute.mQueueDeadline });
}

template<control_ports Ports, instance_view View, placement_policy Policy>
void
request_director<Ports, View, Policy>::OnCharged(
  charge_decision const& aDecision,
  instant aNow)
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

template<control_ports Ports, instance_view View, placement_policy Policy>
void
request_director<Ports, View, Policy>::Enqueue(call_state& aCall, instant aNow)
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

template<control_ports Ports, instance_view View, placement_policy Policy>
void
request_director<Ports, View, Policy>::Admit(pool_runtime<Policy>& aPool,
                                             instant aNow)
{
  admission_batch const batch = aPool.Next(aNow);
  for (ticket const expired : batch.mExpired) {
    call_state* const call = mCalls.Find(call_number{ expired.Value() });
    VERIFY(call);
    Refuse(*call, QueueDeadlineRefusal(), aNow);
  }
  for (ticket const admitted : batch.mAdmitted) {
    call_state* const call = mCalls.Find(call_number{ admitted.Value() });
    VERIFY(call);
    Dispatch(*call, aNow);
  }
}

}
