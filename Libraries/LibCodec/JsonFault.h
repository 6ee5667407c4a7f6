#pragma once

#include <LibCodec/CodecError.h>
#include <LibCodec/JsonPath.h>

#include <nlohmann/json.hpp>

#include <string_view>

namespace lycheeseam {

/// Makes the error for a value that can't be read as the expected type. The
/// message shows long values truncated.
codec_error
JsonFault(nlohmann::json const& aValue,
          json_path const& aPath,
          std::string_view aAllowed);

}
