#include <LibOpenAi/AnswerText.h>

#include <nlohmann/json.hpp>

namespace lycheeseam {

namespace {

using nlohmann::json;

// A chat's text is in the choice's "delta", a completion's in the choice
// itself.
void
AppendChoice(json const& aChoice, std::string& aText)
{
  auto const delta = aChoice.find("delta");
  bool const isChat = delta != aChoice.end() && delta->is_object();
  json const& container = isChat ? *delta : aChoice;
  auto const text = container.find(isChat ? "content" : "text");
  if (text != container.end() && text->is_string())
    aText += text->get_ref<std::string const&>();
}

void
AppendEvent(std::string_view aData, std::string& aText)
{
  json const event = json::parse(aData, nullptr, false);
  if (!event.is_object())
    return;
  auto const choices = event.find("choices");
  if (choices == event.end() || !choices->is_array() || choices->empty())
    return;
  if (choices->front().is_object())
    AppendChoice(choices->front(), aText);
}

}

std::string
AnswerText(std::string_view aEvents)
{
  static constexpr std::string_view kData = "data: ";
  std::string text;
  while (!aEvents.empty()) {
    std::size_t const end = aEvents.find('\n');
    std::string_view const line = aEvents.substr(0, end);
    if (line.starts_with(kData))
      AppendEvent(line.substr(kData.size()), text);
    if (end == std::string_view::npos)
      break;
    aEvents.remove_prefix(end + 1);
  }
  return text;
}

}
