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

/// Lists a struct's fields as the tuple kFields; specialised for each. One
/// list serves reading and writing.
template<typename Struct>
struct json_fields;

/// A struct whose fields are listed.
template<typename Struct>
concept has_json_fields = requires
{
  json_fields<Struct>::kFields;
};

/// Refuses a value that is no object, and fields that its form doesn't know.
void
CheckObject(nlohmann::json const& aJson,
            json_path const& aPath,
            std::span<std::string_view const> aFieldNames);

/// Throws the fault for a required field that isn't there.
[[noreturn]] void
ThrowMissingField(json_path const& aPath);

template<has_json_fields Struct>
struct json_form<Struct>
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
      aResult.*aField.mMember = Field::form::Read(*found, path);
    else if (aField.mPresence == field_presence::Required)
      ThrowMissingField(path);
  }

  template<typename Field>
  static void WriteField(Field const& aField,
                         Struct const& aValue,
                         nlohmann::json& aObject)
  {
    nlohmann::json value = Field::form::Write(aValue.*aField.mMember);
    if (!value.is_null())
      aObject[std::string{ aField.mName }] = std::move(value);
  }
};

}
