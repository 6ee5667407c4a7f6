#pragma once

#include <LibConfig/ConfigFile.h>

#include <string>
#include <string_view>

namespace lycheeseam {

/// Writes a configuration file as JSON text.
std::string
EncodeConfigFile(config_file const& aFile);

/// Reads a configuration file's text; throws codec_error.
config_file
DecodeConfigFile(std::string_view aText);

}
