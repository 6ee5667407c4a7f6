#include <LibHttp/FieldLookup.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace lycheeseam {

namespace {

constexpr std::array<std::string_view, 9> kConnectionFields{
  "connection",
  "keep-alive",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "proxy-authenticate",
  "proxy-authorization"
};

bool
IsSameCharacter(char aLeft, char aRight)
{
  return std::tolower(static_cast<unsigned char>(aLeft)) ==
         std::tolower(static_cast<unsigned char>(aRight));
}

std::string_view
Trim(std::string_view aText)
{
  std::size_t const first = aText.find_first_not_of(" \t");
  if (first == std::string_view::npos)
    return {};
  return aText.substr(first, aText.find_last_not_of(" \t") - first + 1);
}

bool
ListsToken(std::string_view aList, std::string_view aToken)
{
  while (!aList.empty()) {
    std::size_t const comma = std::min(aList.find(','), aList.size());
    if (IsSameFieldName(Trim(aList.substr(0, comma)), aToken))
      return true;
    aList.remove_prefix(std::min(comma + 1, aList.size()));
  }
  return false;
}

}

bool
IsSameFieldName(std::string_view aLeft, std::string_view aRight)
{
  return std::equal(
    aLeft.begin(), aLeft.end(), aRight.begin(), aRight.end(), IsSameCharacter);
}

std::optional<std::string_view>
FindField(std::span<header_field const> aFields, std::string_view aName)
{
  for (header_field const& field : aFields) {
    if (IsSameFieldName(field.mName, aName))
      return field.mValue;
  }
  return std::nullopt;
}

bool
IsConnectionField(std::span<header_field const> aFields, std::string_view aName)
{
  for (std::string_view const name : kConnectionFields) {
    if (IsSameFieldName(name, aName))
      return true;
  }
  for (header_field const& field : aFields) {
    if (IsSameFieldName(field.mName, "connection") &&
        ListsToken(field.mValue, aName))
      return true;
  }
  return false;
}

std::optional<std::int64_t>
ParseWholeNumber(std::string_view aText)
{
  std::int64_t value = 0;
  auto const [end, fault] =
    std::from_chars(aText.data(), aText.data() + aText.size(), value);
  if (fault != std::errc{} || end != aText.data() + aText.size())
    return std::nullopt;
  return value;
}

}
