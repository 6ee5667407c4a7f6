#include <LibCore/Digest.h>
#include <LibCore/InvalidInput.h>

#include <StandIns/Engine/CompletionRequest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace lycheeseam::standin {

namespace {

using nlohmann::json;

/// "[name:X]" in a prompt names the answer X.
constexpr std::string_view kNameMark = "[name:";

/// An answer to a prompt without a mark is named by this many characters of the
/// prompt's digest.
constexpr std::size_t kDigestNameLength = 8;

std::string
ContentText(json const& aContent)
{
  if (aContent.is_string())
    return aContent.get<std::string>();
  std::string text;
  for (json const& part : aContent)
    text += part.value("text", "");
  return text;
}

std::string
ChatPrompt(json const& aBody)
{
  std::string prompt;
  for (json const& message : aBody.at("messages")) {
    prompt += message.at("role").get<std::string>();
    prompt += '\n';
    prompt += ContentText(message.at("content"));
    prompt += '\n';
  }
  return prompt;
}

bool
IsNameCharacter(char aCharacter)
{
  return std::isalnum(static_cast<unsigned char>(aCharacter)) != 0 ||
         aCharacter == '-' || aCharacter == '_' || aCharacter == '.';
}

std::string
AnswerName(std::string_view aPrompt)
{
  std::size_t const mark = aPrompt.rfind(kNameMark);
  if (mark == std::string_view::npos)
    return digest::Of(aPrompt).Hex().substr(0, kDigestNameLength);
  std::string_view const rest = aPrompt.substr(mark + kNameMark.size());
  auto const end = std::find_if_not(rest.begin(), rest.end(), IsNameCharacter);
  return std::string{ rest.begin(), end };
}

std::int32_t
Priority(http_request const& aRequest)
{
  std::string_view const text = HeaderValue(aRequest, "X-Priority");
  std::int32_t priority = 1;
  std::from_chars(text.data(), text.data() + text.size(), priority);
  return priority;
}

token_count
TokensIn(std::string_view aText, std::string_view aAnswerName)
{
  token_count tokens = 0;
  while (!aText.empty()) {
    std::string const token = TokenText(aAnswerName, tokens);
    if (!aText.starts_with(token))
      throw invalid_input("resume_from isn't the beginning of this answer");
    aText.remove_prefix(token.size());
    ++tokens;
  }
  return tokens;
}

void
ReadBody(json const& aBody, completion_request& aResult)
{
  aResult.mModel = model_name{ aBody.value("model", "") };
  aResult.mPrompt = aResult.mKind == completion_kind::Chat
                      ? ChatPrompt(aBody)
                      : aBody.at("prompt").get<std::string>();
  aResult.mAnswerName = AnswerName(aResult.mPrompt);
  aResult.mForm = aBody.value("stream", false) ? answer_form::Streamed
                                               : answer_form::Complete;
  aResult.mMaxTokens = aBody.value("max_tokens", aResult.mMaxTokens);
  std::string const sent = aBody.value("resume_from", "");
  aResult.mTokensSent = TokensIn(sent, aResult.mAnswerName);
  aResult.mPrompt += sent;
}

}

completion_request
ParseCompletion(http_request const& aRequest, token_count aDefaultMaxTokens)
{
  completion_request result{
    .mKind = PathOf(aRequest) == "/v1/completions" ? completion_kind::Text
                                                   : completion_kind::Chat,
    .mId = request_id{ HeaderValue(aRequest, "X-Request-Id") },
    .mWorkspace = workspace_id{ HeaderValue(aRequest, "X-Workspace") },
    .mPriority = Priority(aRequest),
    .mMaxTokens = aDefaultMaxTokens,
  };
  try {
    ReadBody(json::parse(aRequest.body()), result);
  } catch (json::exception const& problem) {
    throw invalid_input(problem.what());
  }
  if (result.mMaxTokens <= result.mTokensSent)
    throw invalid_input("max_tokens must exceed the tokens in resume_from");
  return result;
}

std::string
TokenText(std::string_view aAnswerName, token_count aIndex)
{
  std::string text{ aAnswerName };
  text += '#';
  text += std::to_string(aIndex);
  text += ' ';
  return text;
}

}
