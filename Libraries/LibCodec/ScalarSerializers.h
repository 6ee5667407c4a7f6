#pragma once

#include <LibCodec/JsonFault.h>
#include <LibCodec/JsonSerializer.h>
#include <LibCore/Digest.h>
#include <LibCore/Endpoint.h>
#include <LibCore/Identifier.h>
#include <LibCore/Ordinal.h>

#include <chrono>
#include <concepts>
#include <limits>
#include <string>

/// \file JSON serializers of strings, numbers and types of LibCore.

namespace lycheeseam {

template<>
struct json_serializer<std::string>
{
  static std::string Read(nlohmann::json const& aJson, json_path const& aPath)
  {
    if (!aJson.is_string())
      throw JsonFault(aJson, aPath, "a text is expected");
    return aJson.get<std::string>();
  }

  static nlohmann::json Write(std::string const& aValue) { return aValue; }
};

template<>
struct json_serializer<bool>
{
  static bool Read(nlohmann::json const& aJson, json_path const& aPath)
  {
    if (!aJson.is_boolean())
      throw JsonFault(aJson, aPath, "true or false is expected");
    return aJson.get<bool>();
  }

  static nlohmann::json Write(bool aValue) { return aValue; }
};

template<std::unsigned_integral Number>
struct json_serializer<Number>
{
  static Number Read(nlohmann::json const& aJson, json_path const& aPath)
  {
    constexpr std::uint64_t kLargest = std::numeric_limits<Number>::max();
    if (aJson.is_number_unsigned() && aJson.get<std::uint64_t>() <= kLargest)
      return static_cast<Number>(aJson.get<std::uint64_t>());
    throw JsonFault(aJson,
                    aPath,
                    "a whole number from 0 to " + std::to_string(kLargest) +
                      " is expected");
  }

  static nlohmann::json Write(Number aValue) { return aValue; }
};

template<>
struct json_serializer<std::int64_t>
{
  static std::int64_t Read(nlohmann::json const& aJson, json_path const& aPath)
  {
    constexpr std::uint64_t kLargest = std::numeric_limits<std::int64_t>::max();
    bool const isTooLarge =
      aJson.is_number_unsigned() && aJson.get<std::uint64_t>() > kLargest;
    if (!aJson.is_number_integer() || isTooLarge)
      throw JsonFault(aJson, aPath, "a whole number is expected");
    return aJson.get<std::int64_t>();
  }

  static nlohmann::json Write(std::int64_t aValue) { return aValue; }
};

template<>
struct json_serializer<std::chrono::milliseconds>
{
  static std::chrono::milliseconds Read(nlohmann::json const& aJson,
                                        json_path const& aPath)
  {
    std::uint32_t const count =
      json_serializer<std::uint32_t>::Read(aJson, aPath);
    return std::chrono::milliseconds{ count };
  }

  static nlohmann::json Write(std::chrono::milliseconds aValue)
  {
    return aValue.count();
  }
};

template<typename Tag>
struct json_serializer<identifier<Tag>>
{
  static identifier<Tag> Read(nlohmann::json const& aJson,
                              json_path const& aPath)
  {
    return identifier<Tag>{ json_serializer<std::string>::Read(aJson, aPath) };
  }

  static nlohmann::json Write(identifier<Tag> const& aValue)
  {
    return aValue.Text();
  }
};

template<typename Tag>
struct json_serializer<ordinal<Tag>>
{
  static ordinal<Tag> Read(nlohmann::json const& aJson, json_path const& aPath)
  {
    return ordinal<Tag>{ json_serializer<std::uint64_t>::Read(aJson, aPath) };
  }

  static nlohmann::json Write(ordinal<Tag> aValue) { return aValue.Value(); }
};

template<>
struct json_serializer<digest>
{
  static digest Read(nlohmann::json const& aJson, json_path const& aPath)
  {
    std::string const hex = json_serializer<std::string>::Read(aJson, aPath);
    try {
      return digest::FromHex(hex);
    } catch (invalid_input const& fault) {
      throw JsonFault(aJson, aPath, fault.what());
    }
  }

  static nlohmann::json Write(digest const& aValue) { return aValue.Hex(); }
};

template<>
struct json_serializer<endpoint>
{
  static endpoint Read(nlohmann::json const& aJson, json_path const& aPath)
  {
    std::string const text = json_serializer<std::string>::Read(aJson, aPath);
    try {
      return endpoint::Parse(text);
    } catch (invalid_input const& fault) {
      throw JsonFault(aJson, aPath, fault.what());
    }
  }

  static nlohmann::json Write(endpoint const& aValue) { return aValue.Text(); }
};

}
