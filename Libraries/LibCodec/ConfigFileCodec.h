#pragma once

#include <LibConfig/ConfigFile.h>

#include <string>
#include <string_view>

namespace lycheeseam {

/// Writes a configuration file as JSON text; throws codec_error when a
/// text in it is not UTF-8.
std::string
EncodeConfigFile(config_file const& aFile);

/// Reads a configuration file's text; throws codec_error.
config_file
DecodeConfigFile(std::string_view aText);

}
