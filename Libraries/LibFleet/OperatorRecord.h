#pragma once

#include <LibCore/Identifiers.h>
#include <LibDispatch/DispatchConfig.h>
#include <LibDispatch/LoadedModel.h>
#include <LibRollout/RolloutOrder.h>

#include <memory>
#include <variant>

namespace lycheeseam {

/// The content of one record of an operator: a configuration, the target
/// weights of a model, or an order for a rollout, without its number; empty for
/// other kinds of records.
using operator_record = std::variant<std::monostate,
                                     std::shared_ptr<dispatch_config const>,
                                     loaded_model,
                                     rollout_order>;

}
