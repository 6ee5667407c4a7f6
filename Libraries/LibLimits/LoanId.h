#pragma once

#include <LibCore/Identifiers.h>

namespace lycheeseam {

/// One loan of a slot's account, numbered from 1 for each claim of the slot.
using loan_id = ordinal<struct loan_tag>;

}
