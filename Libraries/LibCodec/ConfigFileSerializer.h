#pragma once

#include <LibCodec/RowSerializers.h>
#include <LibConfig/ConfigFile.h>

#include <tuple>

namespace lycheeseam {

template<>
struct json_fields<config_file>
{
  static constexpr std::tuple kFields{
    OptionalField("routes", &config_file::mRoutes),
    OptionalField("pools", &config_file::mPools),
    OptionalField("keys", &config_file::mKeys),
    OptionalField("workspaces", &config_file::mWorkspaces),
  };
};

}
