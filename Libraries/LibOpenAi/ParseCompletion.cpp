#include <LibCore/InvalidInput.h>
#include <LibOpenAi/ParseCompletion.h>

#include <nlohmann/json.hpp>

#include <array>

namespace lycheeseam {

namespace {

using nlohmann::json;

json
ParseObject(std::string_view aBody)
{
  json parsed = json::parse(aBody, nullptr, false);
  if (parsed.is_discarded())
    throw invalid_input("the body is not valid JSON");
  if (!parsed.is_object())
    throw invalid_input("the body is not a JSON object");
  return parsed;
}

// A message's content is a string or an array of parts, of which only text
// parts count.
void
AppendContent(json const& aContent, std::string& aPrompt)
{
  if (aContent.is_string()) {
    aPrompt += aContent.get_ref<std::string const&>();
    return;
  }
  if (aContent.is_null())
    return;
  if (!aContent.is_array())
    throw invalid_input(
      "\"messages[].content\" is neither a string nor an array");
  for (json const& part : aContent) {
    auto const text = part.find("text");
    if (text != part.end() && text->is_string())
      aPrompt += text->get_ref<std::string const&>();
  }
}

std::string
PromptOfMessages(json const& aMessages)
{
  if (!aMessages.is_array() || aMessages.empty())
    throw invalid_input("\"messages\" is not an array with at least one entry");
  std::string prompt;
  for (json const& message : aMessages) {
    auto const role = message.find("role");
    if (role == message.end() || !role->is_string())
      throw invalid_input("\"messages[].role\" is missing or not a string");
    // Engines cache the role along with the content, so it is part of the
    // prefix.
    prompt += "<|" + role->get_ref<std::string const&>() + "|>";
    auto const content = message.find("content");
    if (content != message.end())
      AppendContent(*content, prompt);
  }
  return prompt;
}

std::string
PromptOf(json const& aBody)
{
  auto const messages = aBody.find("messages");
  if (messages != aBody.end())
    return PromptOfMessages(*messages);
  auto const prompt = aBody.find("prompt");
  if (prompt == aBody.end())
    throw invalid_input(
      "the fields \"messages\" and \"prompt\" are both missing");
  if (!prompt->is_string())
    throw invalid_input("\"prompt\" is not a string");
  return prompt->get<std::string>();
}

std::optional<token_count>
MaxTokensOf(json const& aBody)
{
  // The first of these fields that has a value counts.
  static constexpr std::array kNames{ "max_completion_tokens", "max_tokens" };
  for (char const* const name : kNames) {
    auto const field = aBody.find(name);
    if (field == aBody.end() || field->is_null())
      continue;
    if (!field->is_number_integer() || field->get<std::int64_t>() < 1)
      throw invalid_input(std::string{ "\"" } + name +
                          "\" is not an integer of at least 1");
    return field->get<token_count>();
  }
  return std::nullopt;
}

answer_delivery
DeliveryOf(json const& aBody)
{
  auto const stream = aBody.find("stream");
  if (stream == aBody.end() || stream->is_null())
    return answer_delivery::Complete;
  if (!stream->is_boolean())
    throw invalid_input("\"stream\" is not a boolean");
  return stream->get<bool>() ? answer_delivery::Streamed
                             : answer_delivery::Complete;
}

}

completion_parameters
ParseCompletion(std::string_view aBody)
{
  json const body = ParseObject(aBody);
  auto const model = body.find("model");
  if (model == body.end() || !model->is_string())
    throw invalid_input("\"model\" is missing or not a string");
  return completion_parameters{ .mModel =
                                  model_name{ model->get<std::string>() },
                                .mPrompt = PromptOf(body),
                                .mDelivery = DeliveryOf(body),
                                .mMaxTokens = MaxTokensOf(body) };
}

}
