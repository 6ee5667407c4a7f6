#pragma once

#include <LibConfigLog/ConfigFold.h>
#include <LibRecords/CheckpointedFold.h>

#include <string>
#include <string_view>

namespace lycheeseam {

/// Converts the configuration to and from its checkpoint section.
template<>
struct checkpoint_serializer<config_fold>
{
  static std::string Save(config_fold const& aFold);
  static void Load(config_fold& aFold, std::string_view aText);
};

static_assert(checkpointed_fold<config_fold>);

}
