#pragma once

#include <LibConfig/ConfigTables.h>

#include <string>

namespace lycheeseam {

/// The JSON body of the answer to /v1/models: each model that a route names.
std::string
FormatModels(config_tables const& aTables);

}
