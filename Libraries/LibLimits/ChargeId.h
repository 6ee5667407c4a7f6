#pragma once

#include <LibCore/Identifiers.h>

namespace lycheeseam {

/// Number of one request's charge at this instance; the caller assigns it.
using charge_id = ordinal<struct charge_tag>;

}
