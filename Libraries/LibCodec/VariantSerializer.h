#pragma once

#include <LibCodec/JsonFault.h>
#include <LibCodec/JsonSerializer.h>

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace lycheeseam {

/// The JSON name of a variant's alternative as kName; specialised for each
/// alternative.
template<typename Alternative>
struct json_alternative;

/// A variant is written as an object with one field, named for the alternative
/// that the variant holds.
template<typename... Alternatives>
struct json_serializer<std::variant<Alternatives...>>
{
  using variant = std::variant<Alternatives...>;

  static variant Read(nlohmann::json const& aJson, json_path const& aPath)
  {
    std::optional<variant> result;
    if (aJson.is_object() && aJson.size() == 1)
      (ReadAlternative<Alternatives>(aJson, aPath, result), ...);
    if (!result)
      throw JsonFault(aJson, aPath, Allowed());
    return std::move(*result);
  }

  static nlohmann::json Write(variant const& aValue)
  {
    auto const write = []<typename Value>(Value const& aHeld) {
      nlohmann::json object;
      std::string const name{ json_alternative<Value>::kName };
      object[name] = json_serializer<Value>::Write(aHeld);
      return object;
    };
    return std::visit(write, aValue);
  }

private:
  template<typename Alternative>
  static void ReadAlternative(nlohmann::json const& aJson,
                              json_path const& aPath,
                              std::optional<variant>& aResult)
  {
    std::string_view const name = json_alternative<Alternative>::kName;
    auto const found = aJson.find(name);
    if (found == aJson.end())
      return;
    aResult = json_serializer<Alternative>::Read(*found, aPath.Field(name));
  }

  static std::string Allowed()
  {
    std::string text = "an object with one of these fields is expected:";
    ((text += " " + std::string{ json_alternative<Alternatives>::kName }), ...);
    return text;
  }
};

}
