#include "RenderTemplate.h"

namespace lycheeseam {

namespace {

using nlohmann::json;

// The value at a path such as "listen.front" or "internal_ports.0", or null.
json
Value(json const& aFields, std::string_view aPath)
{
  json value = aFields;
  while (!aPath.empty()) {
    std::string const name{ aPath.substr(0, aPath.find('.')) };
    aPath.remove_prefix(std::min(name.size() + 1, aPath.size()));
    if (value.is_array())
      value = value.at(std::stoul(name));
    else if (value.is_object() && value.contains(name))
      value = json(value[name]);
    else
      return nullptr;
  }
  return value;
}

std::string
Text(json const& aFields, std::string_view aPlaceholder)
{
  constexpr std::string_view kAsJson = "|json";
  bool const isJson = aPlaceholder.ends_with(kAsJson);
  if (isJson)
    aPlaceholder.remove_suffix(kAsJson.size());
  json const value = Value(aFields, aPlaceholder);
  if (value.is_null())
    return {};
  return value.is_string() && !isJson ? value.get<std::string>() : value.dump();
}

}

std::string
RenderTemplate(std::string_view aTemplate, json const& aFields)
{
  std::string rendered;
  bool isLeftOut = false;
  while (!aTemplate.empty()) {
    std::size_t const open = aTemplate.find("{{");
    if (!isLeftOut)
      rendered += aTemplate.substr(0, open);
    if (open == std::string_view::npos)
      break;
    std::size_t const close = aTemplate.find("}}", open);
    std::string_view const name = aTemplate.substr(open + 2, close - open - 2);
    aTemplate.remove_prefix(close + 2);
    if (name.starts_with('#'))
      isLeftOut = Value(aFields, name.substr(1)).is_null();
    else if (name.starts_with('/'))
      isLeftOut = false;
    else if (!isLeftOut)
      rendered += Text(aFields, name);
  }
  return rendered;
}

}
