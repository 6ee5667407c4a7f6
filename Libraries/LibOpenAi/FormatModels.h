#pragma once

#include <LibConfig/ConfigTables.h>

#include <string>

namespace lycheeseam {

/// The answer to /v1/models: each model that some route serves.
std::string
FormatModels(config_tables const& aTables);

}
