#pragma once

#include <LibCore/Identifiers.h>
#include <LibDispatch/DispatchConfig.h>
#include <LibDispatch/LoadedModel.h>

#include <memory>
#include <variant>

namespace lycheeseam {

/// What one record of an operator says; nothing for records of other kinds.
using operator_record = std::
  variant<std::monostate, std::shared_ptr<dispatch_config const>, loaded_model>;

}
