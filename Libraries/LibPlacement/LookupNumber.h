#pragma once

#include <LibCore/Ordinal.h>

namespace lycheeseam {

/// Tells the lookups of one asking instance apart.
using lookup_number = ordinal<struct lookup_tag>;

}
