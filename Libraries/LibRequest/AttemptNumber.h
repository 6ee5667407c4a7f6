#pragma once

#include <LibCore/Identifiers.h>

namespace lycheeseam {

/// The number of an attempt within one call; the first is 1.
using attempt_number = ordinal<struct attempt_tag>;

}
