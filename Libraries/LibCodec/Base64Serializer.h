#pragma once

#include <LibCodec/JsonSerializer.h>

#include <string>

namespace lycheeseam {

/// Converts bytes, which need not be UTF-8, to and from base64 text in JSON.
/// Read throws codec_error.
struct base64_serializer
{
  static std::string Read(nlohmann::json const& aJson, json_path const& aPath);
  static nlohmann::json Write(std::string const& aBytes);
};

}
