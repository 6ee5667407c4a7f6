#pragma once

#include <LibCodec/JsonFault.h>
#include <LibCodec/JsonSerializer.h>
#include <LibCore/Verify.h>

#include <array>
#include <string>
#include <string_view>
#include <type_traits>

namespace lycheeseam {

/// An enumerator and its name in JSON.
template<typename Enum>
struct enum_name
{
  Enum mValue;
  std::string_view mName;
};

/// Lists an enumeration's names as kNames; specialised for each enumeration.
template<typename Enum>
struct json_enum;

/// An enumeration for which json_enum is specialised.
template<typename Enum>
concept named_enum = std::is_enum_v<Enum> && requires
{
  json_enum<Enum>::kNames;
};

template<named_enum Enum>
struct json_serializer<Enum>
{
  static Enum Read(nlohmann::json const& aJson, json_path const& aPath)
  {
    std::string allowed = "one of these is expected:";
    for (enum_name<Enum> const& entry : json_enum<Enum>::kNames) {
      if (aJson == entry.mName)
        return entry.mValue;
      allowed += " \"" + std::string{ entry.mName } + "\"";
    }
    throw JsonFault(aJson, aPath, allowed);
  }

  static nlohmann::json Write(Enum aValue)
  {
    for (enum_name<Enum> const& entry : json_enum<Enum>::kNames) {
      if (entry.mValue == aValue)
        return entry.mName;
    }
    VERIFY(false && "every enumerator has a name");
    return nullptr;
  }
};

}
