#pragma once

#include <LibCore/Identifiers.h>

namespace lycheeseam {

/// A home of workspaces' budgets; an instance holds one by a record.
using slot_id = ordinal<struct slot_tag>;

}
