#pragma once

#include <LibCodec/JsonPath.h>

#include <nlohmann/json.hpp>

#include <concepts>

namespace lycheeseam {

/// Converts values of a type to and from JSON with the static functions Read
/// and Write; specialised for each type that is stored or sent as JSON.
template<typename Value>
struct json_serializer;

/// A type for which json_serializer is specialised. Reading is strict: Read
/// throws codec_error for any value that doesn't match the type exactly.
template<typename Value>
concept json_serializable = requires(Value const& aValue,
                                     nlohmann::json const& aJson,
                                     json_path aPath)
{
  {
    json_serializer<Value>::Read(aJson, aPath)
    } -> std::same_as<Value>;
  {
    json_serializer<Value>::Write(aValue)
    } -> std::same_as<nlohmann::json>;
};

}
