#pragma once

#include <LibCodec/JsonFault.h>
#include <LibCodec/JsonSerializer.h>

#include <optional>
#include <vector>

/// \file JSON serializers of lists and optional values.

namespace lycheeseam {

template<typename Value>
struct json_serializer<std::vector<Value>>
{
  static std::vector<Value> Read(nlohmann::json const& aJson,
                                 json_path const& aPath)
  {
    if (!aJson.is_array())
      throw JsonFault(aJson, aPath, "an array is expected");
    std::vector<Value> values;
    values.reserve(aJson.size());
    for (nlohmann::json const& element : aJson) {
      json_path const path = aPath.Element(values.size());
      values.push_back(json_serializer<Value>::Read(element, path));
    }
    return values;
  }

  static nlohmann::json Write(std::vector<Value> const& aValues)
  {
    nlohmann::json array = nlohmann::json::array();
    for (Value const& value : aValues)
      array.push_back(json_serializer<Value>::Write(value));
    return array;
  }
};

template<typename Value>
struct json_serializer<std::optional<Value>>
{
  static std::optional<Value> Read(nlohmann::json const& aJson,
                                   json_path const& aPath)
  {
    if (aJson.is_null())
      return std::nullopt;
    return json_serializer<Value>::Read(aJson, aPath);
  }

  static nlohmann::json Write(std::optional<Value> const& aValue)
  {
    if (!aValue)
      return nullptr;
    return json_serializer<Value>::Write(*aValue);
  }
};

}
