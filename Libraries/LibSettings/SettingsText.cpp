#include <LibSettings/SettingsText.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cctype>

namespace lycheeseam {

namespace {

constexpr std::size_t kMaxNameLength = 64;
constexpr std::size_t kMaxShownBytes = 80;

bool
IsNameCharacter(unsigned char aCharacter)
{
  return std::isalnum(aCharacter) || aCharacter == '.' || aCharacter == '_' ||
         aCharacter == '-';
}

}

bool
IsName(std::string const& aText)
{
  if (aText.empty() || aText.size() > kMaxNameLength)
    return false;
  return std::all_of(aText.begin(), aText.end(), IsNameCharacter);
}

std::string
RangeText(number_range aRange)
{
  return "a whole number from " + std::to_string(aRange.mLeast) + " to " +
         std::to_string(aRange.mMost);
}

std::string
ShownValue(nlohmann::json const* aValue)
{
  if (!aValue)
    return "nothing";
  std::string text =
    aValue->dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  if (text.size() > kMaxShownBytes) {
    text.resize(kMaxShownBytes);
    text += "...";
  }
  return text;
}

}
