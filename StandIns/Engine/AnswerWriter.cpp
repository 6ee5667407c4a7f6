#include <StandIns/Engine/AnswerWriter.h>
#include <StandIns/EngineModel/PromptChain.h>
#include <nlohmann/json.hpp>

#include <utility>

namespace lycheeseam::standin {

namespace {

using nlohmann::json;

/// Marks the token's text while the chunk around it is serialized.
constexpr std::string_view kTokenPlaceholder = "@TOKEN@";

bool
IsChat(completion_request const& aRequest)
{
  return aRequest.mKind == completion_kind::Chat;
}

json
Envelope(completion_request const& aRequest, std::string_view aObject)
{
  json envelope;
  envelope["id"] =
    (IsChat(aRequest) ? "chatcmpl-" : "cmpl-") + aRequest.mAnswerName;
  envelope["object"] = aObject;
  envelope["model"] = aRequest.mModel.Text();
  envelope["choices"] = json::array();
  return envelope;
}

json
StreamEnvelope(completion_request const& aRequest)
{
  return Envelope(
    aRequest, IsChat(aRequest) ? "chat.completion.chunk" : "text_completion");
}

std::string
Event(json const& aData)
{
  return "data: " + aData.dump() + "\n\n";
}

json
TokenChoice(completion_request const& aRequest, std::string_view aText)
{
  json choice{ { "index", 0 }, { "finish_reason", nullptr } };
  if (IsChat(aRequest))
    choice["delta"] = { { "content", aText } };
  else
    choice["text"] = aText;
  return choice;
}

json
Usage(completion_request const& aRequest, token_count aCachedTokens)
{
  token_count const prompt = TokensOf(aRequest.mPrompt);
  json usage{ { "prompt_tokens", prompt },
              { "completion_tokens", aRequest.mMaxTokens },
              { "total_tokens", prompt + aRequest.mMaxTokens } };
  usage["prompt_tokens_details"] = { { "cached_tokens", aCachedTokens } };
  return usage;
}

}

answer_writer::answer_writer(completion_request aRequest,
                             std::shared_ptr<http_exchange> aExchange)
  : mRequest(std::move(aRequest))
  , mExchange(std::move(aExchange))
{
  // A token's text needs no JSON escapes, so the chunk around it is serialized
  // once.
  json envelope = StreamEnvelope(mRequest);
  envelope["choices"].push_back(TokenChoice(mRequest, kTokenPlaceholder));
  std::string const chunk = Event(envelope);
  std::size_t const position = chunk.find(kTokenPlaceholder);
  mBeforeToken = chunk.substr(0, position);
  mAfterToken = chunk.substr(position + kTokenPlaceholder.size());
}

void
answer_writer::Write(token_step const& aStep)
{
  WriteTokens(aStep);
  if (!aStep.mFinished)
    return;
  if (mRequest.mForm == answer_form::Streamed)
    WriteStreamEnd();
  else
    RespondComplete();
}

void
answer_writer::WriteTokens(token_step const& aStep)
{
  bool const isStreamed = mRequest.mForm == answer_form::Streamed;
  if (isStreamed && !std::exchange(mHasBegun, true))
    mExchange->BeginStream("text/event-stream");
  std::string events;
  for (token_count index = aStep.mFirst; index < aStep.mEnd; ++index) {
    std::string const token = TokenText(mRequest.mAnswerName, index);
    if (isStreamed)
      events += mBeforeToken + token + mAfterToken;
    else
      mText += token;
  }
  mExchange->Write(events);
}

void
answer_writer::WriteStreamEnd()
{
  json last = StreamEnvelope(mRequest);
  json choice = TokenChoice(mRequest, "");
  choice["finish_reason"] = "length";
  last["choices"].push_back(choice);
  json usage = StreamEnvelope(mRequest);
  usage["usage"] = Usage(mRequest, mCachedTokens);
  mExchange->Write(Event(last) + Event(usage) + "data: [DONE]\n\n");
  mExchange->EndStream();
}

void
answer_writer::RespondComplete()
{
  json answer = Envelope(
    mRequest, IsChat(mRequest) ? "chat.completion" : "text_completion");
  json choice{ { "index", 0 }, { "finish_reason", "length" } };
  if (IsChat(mRequest))
    choice["message"] = { { "role", "assistant" }, { "content", mText } };
  else
    choice["text"] = mText;
  answer["choices"].push_back(choice);
  answer["usage"] = Usage(mRequest, mCachedTokens);
  mExchange->Respond(boost::beast::http::status::ok, answer.dump());
}

}
