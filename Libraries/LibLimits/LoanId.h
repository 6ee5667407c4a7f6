#pragma once

#include <LibCore/Identifiers.h>

namespace lycheeseam {

/// Number of a loan of one slot_account; it starts at 1 for each slot claim.
using loan_id = ordinal<struct loan_tag>;

}
