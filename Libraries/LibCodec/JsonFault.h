#pragma once

#include <LibCodec/CodecError.h>
#include <LibCodec/JsonPath.h>

#include <nlohmann/json.hpp>

#include <string_view>

namespace lycheeseam {

/// Makes the error for a value that its form refuses. Long values are cut.
codec_error
JsonFault(nlohmann::json const& aValue,
          json_path const& aPath,
          std::string_view aAllowed);

}
