#pragma once

#include <LibCodec/JsonPath.h>

#include <nlohmann/json.hpp>

#include <concepts>

namespace lycheeseam {

/// How a type stands in JSON; specialised for each type that has a form.
template<typename Value>
struct json_form;

/// A type with a strict JSON form: Read throws codec_error on any fault.
template<typename Value>
concept has_json_form = requires(Value const& aValue,
                                 nlohmann::json const& aJson,
                                 json_path aPath)
{
  {
    json_form<Value>::Read(aJson, aPath)
    } -> std::same_as<Value>;
  {
    json_form<Value>::Write(aValue)
    } -> std::same_as<nlohmann::json>;
};

}
