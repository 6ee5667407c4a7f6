#pragma once

#include <LibCodec/CodecError.h>
#include <LibCodec/JsonSerializer.h>

#include <string>
#include <string_view>

namespace lycheeseam {

/// Parses a JSON text; throws codec_error when it is none, or names a field
/// of an object twice.
nlohmann::json
ParseJson(std::string_view aText);

/// The text of a JSON value on one line; throws codec_error when a text in
/// it is not UTF-8.
std::string
DumpJson(nlohmann::json const& aJson);

/// Reads a value from JSON text; throws codec_error.
template<has_json_form Value>
Value
FromJsonText(std::string_view aText)
{
  return json_form<Value>::Read(ParseJson(aText), json_path{});
}

/// Writes a value as JSON text on one line; throws codec_error.
template<has_json_form Value>
std::string
ToJsonText(Value const& aValue)
{
  return DumpJson(json_form<Value>::Write(aValue));
}

}
