#pragma once

#include <LibConfig/ConfigFile.h>

#include <string>
#include <string_view>

namespace lycheeseam {

/// The text of a file of tables.
std::string
EncodeConfigFile(config_file const& aFile);

/// Reads a file of tables; throws codec_error.
config_file
DecodeConfigFile(std::string_view aText);

}
