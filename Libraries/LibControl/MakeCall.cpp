#include <LibControl/CallCost.h>
#include <LibControl/MakeCall.h>

namespace lycheeseam {

namespace {

prefix_chain
ChainOf(call_state const& aCall)
{
  if (aCall.mRequest.mKind == call_kind::Plain)
    return {};
  cache_scope const scope{ .mWorkspace = aCall.Workspace(),
                           .mWeights = aCall.mAdmitted.mPool.mWeights };
  return prefix_chain::OfText(scope, aCall.mRequest.mCompletion.mPrompt);
}

}

call_state
MakeCall(caller_request aRequest, admitted_route aAdmitted)
{
  call_state call{ .mRequest = std::move(aRequest),
                   .mAdmitted = std::move(aAdmitted) };
  call.mCharged = CallCost(call.mRequest, call.mAdmitted.mRoute);
  call.mChain = ChainOf(call);
  call.mFingerprint = digest::Of(call.Workspace().Text() + ' ' +
                                 call.mRequest.mFingerprint.Hex());
  return call;
}

}
