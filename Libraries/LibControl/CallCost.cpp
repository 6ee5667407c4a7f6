#include <LibControl/CallCost.h>
#include <LibPlacement/TokenEstimate.h>

#include <algorithm>

namespace lycheeseam {

token_count
AnswerLimit(caller_request const& aRequest, route_row const& aRoute)
{
  return aRequest.mCompletion.mMaxTokens.value_or(aRoute.mMaxAnswerTokens);
}

token_count
CallCost(caller_request const& aRequest, route_row const& aRoute)
{
  if (aRequest.mKind == call_kind::Plain) {
    token_count const body = EstimateTokens(aRequest.mBody->size());
    return std::max(body, token_count{ 1 });
  }
  token_count const prompt =
    EstimateTokens(aRequest.mCompletion.mPrompt.size());
  return prompt + AnswerLimit(aRequest, aRoute);
}

}
