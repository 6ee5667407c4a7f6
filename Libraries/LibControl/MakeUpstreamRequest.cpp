#include <LibControl/CallCost.h>
#include <LibControl/MakeUpstreamRequest.h>
#include <LibOpenAi/AddBodyFields.h>

namespace lycheeseam {

namespace {

// An answer stays within its charge only if the engine knows the limit, so the
// limit is added to the body. A resumed stream continues after the text that
// its caller already has.
std::shared_ptr<std::string const>
BodyOf(call_state const& aCall)
{
  caller_request const& request = aCall.mRequest;
  bool const isBounded = request.mKind == call_kind::Plain ||
                         request.mCompletion.mMaxTokens.has_value();
  if (isBounded && aCall.mForwardedText.empty())
    return request.mBody;
  std::string body = *request.mBody;
  if (!isBounded) {
    token_count const limit = AnswerLimit(request, aCall.mAdmitted.mRoute);
    body = AddMaxTokens(body, limit);
  }
  if (!aCall.mForwardedText.empty())
    body = AddResumeFrom(body, aCall.mForwardedText);
  return std::make_shared<std::string const>(std::move(body));
}

event_recording
RecordingFor(call_state const& aCall)
{
  bool const mayResume =
    aCall.mAdmitted.mRoute.mResume == stream_resume::OtherServer &&
    aCall.mRequest.mKind == call_kind::Completion;
  return mayResume ? event_recording::On : event_recording::Off;
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
    .mBody = BodyOf(aCall),
    .mPosition =
      aCall.mHasBegun ? answer_position::Continuation : answer_position::Start,
    .mRecording = RecordingFor(aCall),
    .mFirstByteTimeout = aCall.mAdmitted.mRoute.mFirstByteTimeout,
  };
  AddRoutingHeaders(aCall, attempt.mHeaders);
  return attempt;
}

}
