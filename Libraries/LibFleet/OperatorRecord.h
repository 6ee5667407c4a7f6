#pragma once

#include <LibCore/Identifiers.h>
#include <LibDispatch/DispatchConfig.h>
#include <LibDispatch/LoadedModel.h>

#include <memory>
#include <variant>

namespace lycheeseam {

/// The content of one record of an operator: a configuration, or the target
/// weights of a model; empty for other kinds of records.
using operator_record = std::
  variant<std::monostate, std::shared_ptr<dispatch_config const>, loaded_model>;

}
