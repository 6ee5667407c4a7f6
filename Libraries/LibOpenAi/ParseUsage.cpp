#include <LibOpenAi/ParseUsage.h>

#include <nlohmann/json.hpp>

namespace lycheeseam {

namespace {

token_count
CountOf(nlohmann::json const& aObject, char const* aName)
{
  auto const field = aObject.find(aName);
  if (field == aObject.end() || !field->is_number_integer())
    return 0;
  return field->get<token_count>();
}

}

std::optional<token_usage>
ParseUsage(std::string_view aJson)
{
  nlohmann::json const body = nlohmann::json::parse(aJson, nullptr, false);
  if (!body.is_object())
    return std::nullopt;
  auto const usage = body.find("usage");
  if (usage == body.end() || !usage->is_object())
    return std::nullopt;
  token_usage result{ .mPrompt = CountOf(*usage, "prompt_tokens"),
                      .mCompletion = CountOf(*usage, "completion_tokens") };
  auto const details = usage->find("prompt_tokens_details");
  if (details != usage->end() && details->is_object())
    result.mCached = CountOf(*details, "cached_tokens");
  return result;
}

}
