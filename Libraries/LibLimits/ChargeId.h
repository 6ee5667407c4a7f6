#pragma once

#include <LibCore/Identifiers.h>

namespace lycheeseam {

/// One request's charge at this instance; the caller numbers them.
using charge_id = ordinal<struct charge_tag>;

}
