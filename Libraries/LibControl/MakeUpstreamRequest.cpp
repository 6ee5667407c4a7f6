#include <LibControl/CallCost.h>
#include <LibControl/MakeUpstreamRequest.h>
#include <LibOpenAi/AddMaxTokens.h>

namespace lycheeseam {

namespace {

// What was charged is a bound on the answer only if the engine knows it.
std::shared_ptr<std::string const>
BoundedBody(call_state const& aCall)
{
  caller_request const& request = aCall.mRequest;
  bool const isBounded = request.mKind == call_kind::Plain ||
                         request.mCompletion.mMaxTokens.has_value();
  if (isBounded)
    return request.mBody;
  token_count const limit = AnswerLimit(request, aCall.mAdmitted.mRoute);
  return std::make_shared<std::string const>(
    AddMaxTokens(*request.mBody, limit));
}

void
AddRoutingHeaders(call_state const& aCall, std::vector<header_field>& aHeaders)
{
  aHeaders.push_back(
    { .mName = "X-Request-Id", .mValue = aCall.mRequest.mId.Text() });
  int const priority = static_cast<int>(aCall.mAdmitted.mRoute.mPriority);
  aHeaders.push_back(
    { .mName = "X-Priority", .mValue = std::to_string(priority) });
  if (aCall.mAdmitted.mWorkspace) {
    aHeaders.push_back({ .mName = "X-Workspace",
                         .mValue = aCall.mAdmitted.mWorkspace->mName.Text() });
  }
}

}

upstream_request
MakeUpstreamRequest(call_state const& aCall)
{
  caller_request const& request = aCall.mRequest;
  upstream_request attempt{
    .mCall = request.mCall,
    .mAttempt = aCall.mAttempt,
    .mServer = aCall.mServer.mAddress,
    .mMethod = request.mMethod,
    .mTarget = request.mTarget,
    .mHeaders = request.mHeaders,
    .mBody = BoundedBody(aCall),
    .mFirstByteTimeout = aCall.mAdmitted.mRoute.mFirstByteTimeout,
  };
  AddRoutingHeaders(aCall, attempt.mHeaders);
  return attempt;
}

}
