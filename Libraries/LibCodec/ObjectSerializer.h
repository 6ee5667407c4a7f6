#pragma once

#include <LibCodec/JsonFault.h>
#include <LibCodec/JsonField.h>
#include <LibCodec/JsonSerializer.h>

#include <algorithm>
#include <array>
#include <span>
#include <string>
#include <string_view>
#include <tuple>

namespace lycheeseam {

/// Lists a struct's JSON fields as the tuple kFields, for reading and writing;
/// specialised for each struct.
template<typename Struct>
struct json_fields;

/// A struct for which json_fields is specialised.
template<typename Struct>
concept has_json_fields = requires
{
  json_fields<Struct>::kFields;
};

/// Throws codec_error when a value is not an object or has a field that is not
/// in aFieldNames.
void
CheckObject(nlohmann::json const& aJson,
            json_path const& aPath,
            std::span<std::string_view const> aFieldNames);

/// Throws codec_error for a required field that is missing.
[[noreturn]] void
ThrowMissingField(json_path const& aPath);

template<has_json_fields Struct>
struct json_serializer<Struct>
{
  static Struct Read(nlohmann::json const& aJson, json_path const& aPath)
  {
    CheckObject(aJson, aPath, FieldNames());
    Struct result{};
    auto const read = [&](auto const&... aFields) {
      (ReadField(aFields, aJson, aPath, result), ...);
    };
    std::apply(read, json_fields<Struct>::kFields);
    return result;
  }

  static nlohmann::json Write(Struct const& aValue)
  {
    nlohmann::json object = nlohmann::json::object();
    auto const write = [&](auto const&... aFields) {
      (WriteField(aFields, aValue, object), ...);
    };
    std::apply(write, json_fields<Struct>::kFields);
    return object;
  }

private:
  static auto FieldNames()
  {
    auto const names = [](auto const&... aFields) {
      return std::array<std::string_view, sizeof...(aFields)>{
        aFields.mName...
      };
    };
    return std::apply(names, json_fields<Struct>::kFields);
  }

  template<typename Field>
  static void ReadField(Field const& aField,
                        nlohmann::json const& aJson,
                        json_path const& aPath,
                        Struct& aResult)
  {
    json_path const path = aPath.Field(aField.mName);
    auto const found = aJson.find(aField.mName);
    if (found != aJson.end())
      aResult.*aField.mMember = Field::serializer::Read(*found, path);
    else if (aField.mPresence == field_presence::Required)
      ThrowMissingField(path);
  }

  template<typename Field>
  static void WriteField(Field const& aField,
                         Struct const& aValue,
                         nlohmann::json& aObject)
  {
    nlohmann::json value = Field::serializer::Write(aValue.*aField.mMember);
    // A null value, such as that of an empty optional, is left out.
    if (!value.is_null())
      aObject[std::string{ aField.mName }] = std::move(value);
  }
};

}
