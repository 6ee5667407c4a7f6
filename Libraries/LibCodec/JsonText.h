#pragma once

#include <LibCodec/CodecError.h>
#include <LibCodec/JsonSerializer.h>

#include <string>
#include <string_view>

namespace lycheeseam {

/// Parses a JSON text; throws codec_error when it is malformed or when an
/// object has the same field twice.
nlohmann::json
ParseJson(std::string_view aText);

/// Writes a JSON value as text on one line; throws codec_error when a string in
/// it is not UTF-8.
std::string
DumpJson(nlohmann::json const& aJson);

/// Reads a value from JSON text; throws codec_error.
template<json_serializable Value>
Value
FromJsonText(std::string_view aText)
{
  return json_serializer<Value>::Read(ParseJson(aText), json_path{});
}

/// Writes a value as JSON text on one line; throws codec_error when a string in
/// it is not UTF-8.
template<json_serializable Value>
std::string
ToJsonText(Value const& aValue)
{
  return DumpJson(json_serializer<Value>::Write(aValue));
}

}
