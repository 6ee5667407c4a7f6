#pragma once

#include <LibCodec/JsonSerializer.h>

#include <string>

namespace lycheeseam {

/// The form of bytes that need not be UTF-8: base64 text.
struct base64_form
{
  static std::string Read(nlohmann::json const& aJson, json_path const& aPath);
  static nlohmann::json Write(std::string const& aBytes);
};

}
